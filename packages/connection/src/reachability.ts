/** Tests whether an address accepts connections. */

import {FreshConnection} from './fresh_connection.js';

/** Options of {@link acceptsConnections}; default in brackets. */
export interface ReachabilityOptions {
  readonly host: string;
  readonly port: number;
  /** Time allowed for the handshake (500 ms). */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 500;

/**
 * Opens a connection and resets it at once; nothing is sent.
 *
 * @example
 * const isUp = await acceptsConnections({host, port});
 */
export async function acceptsConnections(
  options: ReachabilityOptions,
): Promise<boolean> {
  const {host, port, timeoutMs = DEFAULT_TIMEOUT_MS} = options;
  const connection = await FreshConnection.open({
    host,
    port,
    connectTimeoutMs: timeoutMs,
  });
  if (connection.kind === 'failed') return false;
  connection.reset();
  return true;
}
