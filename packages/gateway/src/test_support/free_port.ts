/** Ports for tests. */

import net, {type AddressInfo} from 'node:net';

/** A port on which nobody listens now. */
export async function freePort(): Promise<number> {
  const server = net.createServer().listen(0, '127.0.0.1');
  await new Promise(resolve => server.once('listening', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}
