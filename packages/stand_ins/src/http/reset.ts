/** Resets TCP connections. */

import type {Socket} from 'node:net';

/**
 * Resets a connection. A socket whose writable side has already been ended is
 * closed instead: Node.js fails to reset it and leaves its handle open, which
 * keeps the process from exiting.
 *
 * @example
 * resetConnection(request.socket);
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
