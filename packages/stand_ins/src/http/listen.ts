/** Makes a server listen, as a promise. */

import type {AddressInfo, Server} from 'node:net';

/**
 * Starts listening.
 *
 * @returns the port, chosen by the system when `port` is 0.
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
