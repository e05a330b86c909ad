/** A TCP relay that can be slow or lose track of the connections through it. */

import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** Which way bytes still go over a connection. */
export type Passage = 'both' | 'to_target' | 'to_caller' | 'none';

interface Connection {
  readonly caller: Socket;
  readonly target: Socket;
  passage: Passage;
}

/** Bytes that must not pass are read and dropped; sockets stay open. */
export class Relay {
  readonly connections: Connection[] = [];
  /** How connections that come later start. */
  passageOfNew: Passage = 'both';
  /** How much longer bytes are under way because of it. */
  readonly delayMs = {to_target: 0, to_caller: 0};
  private targetPort = 0;
  private readonly server = createServer(caller => this.take(caller));

  /** Resolves with the relay's own address. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** The address that lies behind; it is known later than the relay's own. */
  setTarget(address: string): void {
    this.targetPort = Number(address.split(':')[1]);
  }

  /** What has been opened so far passes bytes so, from now on. */
  setPassage(passage: Passage): void {
    for (const connection of this.connections) connection.passage = passage;
  }

  close(): void {
    this.server.close();
    for (const {caller, target} of this.connections) {
      caller.destroy();
      target.destroy();
    }
  }

  private take(caller: Socket): void {
    const target = connect(this.targetPort, '127.0.0.1');
    const connection: Connection = {caller, target, passage: this.passageOfNew};
    this.connections.push(connection);
    const passes = (way: Passage) =>
      connection.passage === 'both' || connection.passage === way;
    const pass = (
      bytes: Buffer,
      way: 'to_target' | 'to_caller',
      to: Socket,
    ) => {
      if (!passes(way)) return;
      const delayMs = this.delayMs[way];
      if (delayMs === 0) to.write(bytes);
      else setTimeout(() => to.write(bytes), delayMs);
    };
    caller.on('data', bytes => pass(bytes, 'to_target', target));
    target.on('data', bytes => pass(bytes, 'to_caller', caller));
    caller.on('close', () => passes('to_target') && target.destroy());
    target.on('close', () => passes('to_caller') && caller.destroy());
    caller.on('error', () => undefined);
    target.on('error', () => undefined);
  }
}
