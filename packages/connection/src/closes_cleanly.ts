/** Distinguishes the close of a connection from its reset. */

import type {Socket} from 'node:net';

/**
 * Resolves at the end of a connection, with whether its peer closed rather than
 * reset it.
 *
 * libuv reports a reset that arrives together with the last bytes as an end of
 * the stream, without an error. At that moment the kernel no longer knows a
 * peer address of a reset connection, while a closed one still has one.
 * `remoteAddress` must not have been read before, since Node.js caches it.
 *
 * @example
 * const isWhole = await closesCleanly(socket);
 */
export function closesCleanly(socket: Socket): Promise<boolean> {
  let hadPeerAtEnd = false;
  socket.prependListener('end', () => {
    hadPeerAtEnd = socket.remoteAddress !== undefined;
  });
  return new Promise(resolve =>
    socket.once('close', hadError => resolve(!hadError && hadPeerAtEnd)),
  );
}
