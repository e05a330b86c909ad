/** A TCP relay that can delay bytes, or drop them silently. */

import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** The directions in which bytes of a connection are forwarded. */
export type Forwarding = 'both' | 'to_target' | 'to_caller' | 'none';

interface Connection {
  readonly caller: Socket;
  readonly target: Socket;
  forwarding: Forwarding;
}

/** Bytes that are not forwarded are read and dropped; sockets stay open. */
export class Relay {
  readonly connections: Connection[] = [];
  /** Initial forwarding of new connections. */
  newConnectionForwarding: Forwarding = 'both';
  /** Delay that the relay adds in each direction. */
  readonly delayMs = {to_target: 0, to_caller: 0};
  private targetPort = 0;
  private readonly server = createServer(caller =>
    this.handleConnection(caller),
  );

  /** Resolves with the address of the relay. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sets the address behind the relay, which is known only after its own. */
  setTarget(address: string): void {
    this.targetPort = Number(address.split(':')[1]);
  }

  /** Changes the forwarding of all connections opened so far. */
  setForwarding(forwarding: Forwarding): void {
    for (const connection of this.connections)
      connection.forwarding = forwarding;
  }

  close(): void {
    this.server.close();
    for (const {caller, target} of this.connections) {
      caller.destroy();
      target.destroy();
    }
  }

  private handleConnection(caller: Socket): void {
    const target = connect(this.targetPort, '127.0.0.1');
    const connection: Connection = {
      caller,
      target,
      forwarding: this.newConnectionForwarding,
    };
    this.connections.push(connection);
    const forwards = (way: Forwarding) =>
      connection.forwarding === 'both' || connection.forwarding === way;
    const forward = (
      bytes: Buffer,
      way: 'to_target' | 'to_caller',
      to: Socket,
    ) => {
      if (!forwards(way)) return;
      const delayMs = this.delayMs[way];
      if (delayMs === 0) to.write(bytes);
      else setTimeout(() => to.write(bytes), delayMs);
    };
    caller.on('data', bytes => forward(bytes, 'to_target', target));
    target.on('data', bytes => forward(bytes, 'to_caller', caller));
    caller.on('close', () => forwards('to_target') && target.destroy());
    target.on('close', () => forwards('to_caller') && caller.destroy());
    caller.on('error', () => undefined);
    target.on('error', () => undefined);
  }
}
