/** A small HTTP server for readiness, metrics and a dump of state. */

import {createServer, type Server} from 'node:http';
import {INPUT_PACER} from '@snipestage/connection/input_pacer.js';
import type {Socket} from 'node:net';
import {ConnectionLimit} from './connection_limit.js';
import {splitAddress} from './split_address.js';

/** Renders the page of a path; undefined when there is none. */
export type PageRenderer = (
  path: string,
) => Promise<OperationsPage | undefined>;

export interface OperationsPage {
  readonly status: number;
  readonly type: string;
  readonly body: string;
}

const NO_PAGE: OperationsPage = {
  status: 404,
  type: 'text/plain',
  body: 'There is no such page.\n',
};

/** Machines that ask an instance keep few connections each. */
const MAX_CONNECTIONS = 32;

/** Serves pages for machines and operators on one address. */
export class OperationsServer {
  private readonly server: Server;

  /** Connections whose page is being rendered or sent. */
  private readonly busy = new Set<Socket>();

  constructor(
    private readonly address: string,
    render: PageRenderer,
  ) {
    const limit = new ConnectionLimit({
      maxConnections: MAX_CONNECTIONS,
      isIdle: socket => !this.busy.has(socket),
      onClosed: () => undefined,
    });
    this.server = createServer((request, response) => {
      const {socket} = request;
      // One page at a time: Node.js hands out all requests of a read.
      if (this.busy.has(socket) || socket.destroyed) {
        socket.destroy();
        return;
      }
      this.busy.add(socket);
      limit.noteActive(socket);
      const end = () => this.busy.delete(socket);
      response.once('close', end);
      socket.once('close', end);
      void render(request.url ?? '/')
        .then(page => page ?? NO_PAGE)
        .catch((error: unknown): OperationsPage => {
          const body = `The page can't be rendered: ${String(error)}\n`;
          return {status: 500, type: 'text/plain', body};
        })
        .then(({status, type, body}) => {
          response.writeHead(status, {'Content-Type': type});
          response.end(body);
        });
    });
    limit.watch(this.server);
    INPUT_PACER.paceServer(this.server);
  }

  async start(): Promise<void> {
    const [host, port] = splitAddress(this.address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port}, resolve);
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
