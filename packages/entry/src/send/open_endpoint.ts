/** Opens the connection of one attempt. */

import {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import {EndpointError} from './endpoint_error.js';

/** Where to, for how long, and until when. */
export interface OpenEndpointOptions {
  readonly url: string;
  readonly connectTimeoutMs: number;
  readonly signal: AbortSignal;
}

/**
 * A connection of the attempt's own; see `FreshConnection`.
 *
 * @throws EndpointError, verdict `not_run`, when none came about.
 * @example
 * const connection = await openEndpoint({url, connectTimeoutMs, signal});
 */
export async function openEndpoint(
  options: OpenEndpointOptions,
): Promise<FreshConnection> {
  const {connectTimeoutMs, signal} = options;
  const {hostname: host, port} = new URL(options.url);
  const connection = await FreshConnection.open({
    host,
    port: Number(port),
    connectTimeoutMs,
    signal,
  });
  if (connection.kind === 'open') return connection;
  throw new EndpointError(`No connection: ${connection.reason}`, {
    kind: signal.aborted ? 'cancelled' : 'unreachable',
    verdict: 'not_run',
  });
}
