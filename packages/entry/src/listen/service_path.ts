/**
 * Parses `/services/<service>/<path>` and finds the operation that is called.
 */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {
  Service,
  ServiceOperation,
} from '@snipestage/types/configuration.js';

const SERVICE_URL = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** The service that a URL addresses, and the path there. */
export interface ServicePath {
  readonly serviceName: string;
  /** Path and query at the service. */
  readonly path: string;
}

/**
 * Splits the URL. The path is normalized, and sent in that form: matched as
 * written, the booking `/stock/../bookings` would count as an idempotent lookup
 * below `/stock` and could run twice.
 *
 * @throws RequestError `invalid_request`, verdict `not_run`.
 * @example
 * parseServicePath('/services/booking/stock/7?size=m');
 * // {serviceName: 'booking', path: '/stock/7?size=m'}
 */
export function parseServicePath(url: string): ServicePath {
  const match = SERVICE_URL.exec(url);
  if (match === null) throw invalidPath();
  const [, serviceName, path = '/', query = ''] = match;
  if (/%2f|%5c|\\|\/\//i.test(path)) throw invalidPath();
  try {
    decodeURIComponent(path + query);
    const normal = new URL(path + query, 'http://service');
    return {serviceName, path: normal.pathname + normal.search};
  } catch {
    throw invalidPath();
  }
}

/**
 * Finds the operation of a call; the first match counts. A prefix covers whole
 * segments only, so that `/stock` does not cover `/stocktake`.
 *
 * @example
 * findOperation(service, 'GET', '/stock/7')?.idempotent; // true
 */
export function findOperation(
  service: Service,
  method: string,
  path: string,
): ServiceOperation | undefined {
  const [pathname] = path.split('?');
  return service.operations.find(
    operation =>
      operation.method === method && isBelow(pathname, operation.pathPrefix),
  );
}

function isBelow(pathname: string, prefix: string): boolean {
  if (!pathname.startsWith(prefix)) return false;
  const rest = pathname.slice(prefix.length);
  return rest === '' || prefix.endsWith('/') || rest.startsWith('/');
}

function invalidPath(): RequestError {
  return new RequestError('The path of the service call is not valid.', {
    code: 'invalid_request',
    verdict: 'not_run',
  });
}
