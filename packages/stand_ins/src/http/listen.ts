/** Listening on a port, as a promise. */

import type {AddressInfo, Server} from 'node:net';

/**
 * Listens.
 *
 * @returns the port, which matters where 0 was asked for.
 * @example
 * const port = await listenOn(server, 0, '127.0.0.1');
 */
export async function listenOn(
  server: Server,
  port: number,
  host: string,
): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return (server.address() as AddressInfo).port;
}
