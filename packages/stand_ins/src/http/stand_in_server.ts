/** What every stand-in shares: a listener that can be cut off and come back. */

import type {Server as HttpServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import restify, {type Server} from 'restify';

/** Where a stand-in listens. */
export interface ListenOptions {
  readonly host?: string;
  /** 0 takes any free port. */
  readonly port?: number;
}

const DEFAULT_HOST = '127.0.0.1';

/** A restify server whose connections can all be reset at once. */
export abstract class StandInServer {
  protected readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly host: string;
  private port: number;

  constructor(options: ListenOptions = {}) {
    this.host = options.host ?? DEFAULT_HOST;
    this.port = options.port ?? 0;
    this.server = restify.createServer({name: 'stand-in'});
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /**
   * Scheme, IP number and port; known once it has started.
   *
   * @example
   * await engine.start();
   * await got(`${engine.url}/healthz`);
   */
  get url(): string {
    return `http://${this.host}:${this.port}`;
  }

  /**
   * Listens, always on the port of its first start.
   *
   * @example
   * await engine.start();
   */
  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.httpServer.once('error', reject);
      this.httpServer.listen(this.port, this.host, () => {
        this.httpServer.off('error', reject);
        resolve();
      });
    });
    this.port = (this.httpServer.address() as AddressInfo).port;
  }

  /**
   * Stops listening and resets every connection.
   *
   * @example
   * await engine.stop();
   */
  async stop(): Promise<void> {
    if (!this.httpServer.listening) return;
    const closed = new Promise(resolve => this.httpServer.close(resolve));
    this.resetConnections();
    await closed;
  }

  /** Callers see `ECONNRESET`, as when a process is killed. */
  protected resetConnections(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private get httpServer(): HttpServer {
    return this.server.server as HttpServer;
  }
}
