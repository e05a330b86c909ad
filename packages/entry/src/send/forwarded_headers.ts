/**
 * Selects the headers that are forwarded between callers and plain services.
 */

import type {IncomingHttpHeaders} from 'node:http';

/** Hop-by-hop (RFC 9110, 7.6.1), set by the router, or meant for it only. */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  'authorization',
  'proxy-authorization',
  'proxy-connection',
  'connection',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
  'content-length',
  'x-request-class',
  'x-request-id',
  'x-request-priority',
]);

/** Header values; several of one name are a list. */
export type PlainHeaders = Record<string, string | string[]>;

/**
 * The caller's headers without those of the connection or for the router, and
 * without any that contains the API key: no endpoint may see the key, whichever
 * header the caller puts it in.
 *
 * @example
 * const headers = forwardedRequestHeaders(request.headers, key);
 */
export function forwardedRequestHeaders(
  headers: IncomingHttpHeaders,
  key: string,
): PlainHeaders {
  return keepHeaders(headers, value => !value.includes(key));
}

/**
 * The service's response headers that are forwarded to the caller.
 *
 * @example
 * response.writeHead(status, forwardedResponseHeaders(answer.headers));
 */
export function forwardedResponseHeaders(
  headers: IncomingHttpHeaders,
): PlainHeaders {
  return keepHeaders(headers, () => true);
}

function keepHeaders(
  headers: IncomingHttpHeaders,
  isAllowed: (value: string) => boolean,
): PlainHeaders {
  const kept: PlainHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_FORWARDED.has(name)) continue;
    if ([value].flat().every(isAllowed)) kept[name] = value;
  }
  return kept;
}
