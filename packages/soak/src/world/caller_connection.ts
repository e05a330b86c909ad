/** One connection of a caller, opened before its first request. */

import {Agent} from 'node:http';
import {connect, type Socket} from 'node:net';

/**
 * Agent that sends all requests over one connection and never opens another.
 */
export class CallerConnection extends Agent {
  private readonly socket: Socket;
  /** The agent lists connections only after their first request. */
  private isUsed = false;

  /**
   * @example
   * const connection = new CallerConnection('127.0.0.1:9000');
   */
  constructor(address: string) {
    super({keepAlive: true, maxSockets: 1});
    const [host, port] = address.split(':');
    this.socket = connect({host, port: Number(port)});
    this.socket.setNoDelay(true);
    // An error destroys the socket, which is what is checked.
    this.socket.on('error', () => undefined);
  }

  /** Whether it is open and carries no request. */
  get isFree(): boolean {
    if (this.socket.destroyed || this.socket.readableEnded) return false;
    return !this.isUsed || Object.keys(this.freeSockets).length > 0;
  }

  /** Resolves with false when it could not be opened. */
  opened(): Promise<boolean> {
    return new Promise(resolve => {
      this.socket.once('connect', () => resolve(true));
      this.socket.once('close', () => resolve(false));
    });
  }

  /** Called by Node.js for a request that finds no free connection. */
  createConnection(): Socket {
    this.isUsed = true;
    return this.socket;
  }

  close(): void {
    this.destroy();
    this.socket.destroy();
  }
}
