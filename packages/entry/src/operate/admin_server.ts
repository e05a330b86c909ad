/** HTTP server of the operators' interface. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {keyMatches} from '@snipestage/configuration/key_hash.js';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {ChangeTicketNumber, KeyHash} from '@snipestage/types/ids.js';
import {brandAs} from '@snipestage/types/ids.js';
import {statusOf} from '@snipestage/types/refusal.js';
import restify from 'restify';
import {refusalOf} from '../answer/refusal_response.js';
import {parseJsonObject, readBody} from '../listen/read_body.js';
import type {
  SubmitOutcome,
  TicketList,
  TicketService,
} from './ticket_service.js';

const MAX_TICKET_BYTES = 8 * 1024 * 1024;
const BEARER = /^Bearer +(\S+)$/i;

const STATUS_OF_OUTCOME: Readonly<Record<SubmitOutcome['kind'], number>> = {
  accepted: 200,
  already_accepted: 200,
  conflict: 409,
  superseded: 409,
  invalid: 422,
  malformed: 422,
  unknown: 503,
  unavailable: 503,
};

/** Returns the JSON body for one of the read-only calls. */
export type AdminReader = () => unknown;

/** Options of {@link AdminServer}. */
export interface AdminServerOptions {
  readonly host: string;
  readonly port: number;
  readonly operatorKeyHashes: readonly KeyHash[];
  readonly tickets: TicketService;
  readonly status: AdminReader;
  readonly dump: AdminReader;
  readonly usage: AdminReader;
  readonly drain: () => void;
}

/** Owns the listener and the sockets of operators. */
export class AdminServer {
  private readonly server = restify.createServer({name: 'snipestage-admin'});

  constructor(private readonly options: AdminServerOptions) {
    this.addTicketRoutes();
    this.addReaders();
    this.route('post', '/admin/v1/drain', async (request, response) => {
      sendJson(response, 202, {draining: true});
      this.options.drain();
    });
  }

  async start(): Promise<AddressInfo> {
    const {host, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
    return this.server.address() as AddressInfo;
  }

  stop(): void {
    this.server.server.close();
    this.server.server.closeIdleConnections();
  }

  private addTicketRoutes(): void {
    const {tickets} = this.options;
    this.route('post', '/admin/v1/tickets', async (request, response) => {
      const outcome = await tickets.submit(await readTicket(request));
      sendOutcome(response, outcome);
    });
    this.route(
      'post',
      '/admin/v1/tickets/validate',
      async (request, response) => {
        const faults = tickets.validate(await readTicket(request));
        sendJson(response, faults.length === 0 ? 200 : 422, {faults});
      },
    );
    this.route('get', '/admin/v1/tickets', async (request, response) => {
      sendTickets(response, await tickets.list());
    });
    this.route(
      'get',
      '/admin/v1/tickets/:number',
      async (request, response) => {
        const number = brandAs<ChangeTicketNumber>(
          Number(lastSegment(request)),
        );
        const list = await tickets.show(number);
        if (list.kind === 'tickets' && list.tickets.length === 0) {
          sendJson(response, 404, {message: `There is no ticket ${number}.`});
          return;
        }
        sendTickets(response, list);
      },
    );
  }

  private addReaders(): void {
    const {status, dump, usage} = this.options;
    const readers = {status, dump, usage};
    for (const [name, reader] of Object.entries(readers)) {
      this.route('get', `/admin/v1/${name}`, async (request, response) => {
        sendJson(response, 200, await reader());
      });
    }
  }

  private route(
    method: 'get' | 'post',
    path: string,
    handler: (
      request: IncomingMessage,
      response: ServerResponse,
    ) => Promise<void>,
  ): void {
    this.server[method](path, async (request, response) => {
      try {
        this.authorize(request);
        await handler(request, response);
      } catch (error) {
        const refusal = refusalOf(error);
        sendJson(response, statusOf(refusal.code), {
          code: refusal.code,
          message: refusal.message,
        });
      }
    });
  }

  private authorize(request: IncomingMessage): void {
    const key = BEARER.exec(request.headers.authorization ?? '')?.[1] ?? '';
    const {operatorKeyHashes} = this.options;
    if (operatorKeyHashes.some(hash => keyMatches(key, hash))) return;
    throw new RequestError('The operator key is not valid.', {
      code: 'invalid_api_key',
      verdict: 'not_run',
    });
  }
}

async function readTicket(request: IncomingMessage): Promise<unknown> {
  return parseJsonObject(await readBody(request, MAX_TICKET_BYTES));
}

function lastSegment(request: IncomingMessage): string {
  const [path] = (request.url ?? '').split('?');
  return path.slice(path.lastIndexOf('/') + 1);
}

function sendOutcome(response: ServerResponse, outcome: SubmitOutcome): void {
  const {kind, ...rest} = outcome;
  const publicKind = kind === 'malformed' ? 'invalid' : kind;
  sendJson(response, STATUS_OF_OUTCOME[kind], {outcome: publicKind, ...rest});
}

function sendTickets(response: ServerResponse, list: TicketList): void {
  if (list.kind === 'unavailable') {
    sendJson(response, 503, {message: 'The platform can not be read.'});
    return;
  }
  sendJson(response, 200, {tickets: list.tickets});
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
