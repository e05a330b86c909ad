/** Resetting connections. */

import type {Socket} from 'node:net';

/**
 * Resets a connection. One whose own end is being shut down already is closed:
 * Node.js fails to reset it and then leaves its handle open, which shows in a
 * process that does not end.
 *
 * @example
 * resetConnection(request.socket);
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
