/** Opens connections for attempts. */

import {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import {EndpointError} from './endpoint_error.js';

/** Options of {@link openEndpoint}. */
export interface OpenEndpointOptions {
  readonly url: string;
  readonly connectTimeoutMs: number;
  readonly signal: AbortSignal;
  /** Asked once the connection is open, before anything is sent. */
  readonly mayStillSend?: () => boolean;
}

/**
 * Opens a new connection for one attempt; see `FreshConnection`.
 *
 * @throws EndpointError `cancelled` when the signal has aborted, `unreachable`
 * when the connection fails otherwise, `withheld` when nothing may be sent any
 * more; verdict `not_run`.
 * @example
 * const connection = await openEndpoint({url, connectTimeoutMs, signal});
 */
export async function openEndpoint(
  options: OpenEndpointOptions,
): Promise<FreshConnection> {
  const {connectTimeoutMs, signal, mayStillSend} = options;
  const {hostname: host, port} = new URL(options.url);
  const connection = await FreshConnection.open({
    host,
    port: Number(port),
    connectTimeoutMs,
    signal,
  });
  if (connection.kind === 'open') {
    if (mayStillSend?.() !== false) return connection;
    connection.reset();
    throw new EndpointError('The endpoint wants no requests for a while.', {
      kind: 'withheld',
      verdict: 'not_run',
    });
  }
  throw new EndpointError(`No connection: ${connection.reason}`, {
    kind: signal.aborted ? 'cancelled' : 'unreachable',
    verdict: 'not_run',
  });
}
