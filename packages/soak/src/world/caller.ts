/** A caller that keeps its connection open for as long as it lasts. */

import {Agent, request as httpRequest, type IncomingMessage} from 'node:http';
import {
  composeCallerHeaders,
  readRequestId,
  readSignature,
} from '@snipestage/platform_stand_ins/caller_headers.js';
import {digest} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import {brandAs, type RequestId} from '@snipestage/types/ids.js';
import type {Outcome, SentRequest} from '../history.js';
import type {Instance} from './instance.js';
import {HOST} from './operator.js';

/** How one request is sent. */
export interface SendOptions {
  readonly request: SentRequest;
  readonly body: string;
  readonly promptTokens: number | undefined;
  /** The caller hangs up so long after its send. */
  readonly leavesAfterMs: number | undefined;
  readonly nowMs: () => number;
}

/** After its time a caller waits so much longer, to see a late answer. */
const PATIENCE_MS = 1500;

/** Sends one request at a time. */
export class Caller {
  instance: Instance | undefined;
  isBusy = false;
  private agent = new Agent({keepAlive: true, maxSockets: 1});

  /** Whether an open connection is left from the request before. */
  get hasConnection(): boolean {
    return Object.keys(this.agent.freeSockets).length > 0;
  }

  /** Uses another instance, over a new connection. */
  moveTo(instance: Instance): void {
    this.agent.destroy();
    this.agent = new Agent({keepAlive: true, maxSockets: 1});
    this.instance = instance;
  }

  /** Resolves when the request has ended one way or another. */
  async send(options: SendOptions): Promise<void> {
    const {request, nowMs} = options;
    this.isBusy = true;
    request.outcome = await this.exchange(options);
    request.endedAtMs = nowMs();
    this.isBusy = false;
  }

  close(): void {
    this.agent.destroy();
  }

  private exchange(options: SendOptions): Promise<Outcome> {
    const {request, body, nowMs} = options;
    const [host, port] = this.instance!.callersWay.address.split(':');
    return new Promise(resolve => {
      let hasSent = false;
      const call = httpRequest({
        agent: this.agent,
        host,
        port: Number(port),
        method: body === '' ? 'GET' : 'POST',
        path: request.path,
        headers: composeCallerHeaders({
          requestId: brandAs<RequestId>(request.requestId),
          host: HOST,
          waitsForMs: request.waitsForMs,
          key: request.key,
          promptTokens: options.promptTokens,
        }),
      });
      const end = (outcome: Outcome) => {
        clearTimeout(patience);
        clearTimeout(leave);
        resolve(outcome);
        if (outcome.kind !== 'answered') call.destroy();
      };
      const patience = setTimeout(
        () => end({kind: 'unanswered'}),
        request.waitsForMs + PATIENCE_MS,
      );
      const leave =
        options.leavesAfterMs === undefined
          ? undefined
          : setTimeout(() => end({kind: 'left'}), options.leavesAfterMs);
      call.once('finish', () => {
        hasSent = true;
        request.lastByteAtMs = nowMs();
      });
      call.on('response', response => void readAnswer(response).then(end));
      call.on('error', () => end({kind: hasSent ? 'broken' : 'not_connected'}));
      call.end(body);
    });
  }
}

async function readAnswer(response: IncomingMessage): Promise<Outcome> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch {
    return {kind: 'broken'};
  }
  if (!response.complete) return {kind: 'broken'};
  return {
    kind: 'answered',
    status: response.statusCode ?? 0,
    signature: readSignature(response.headers),
    answersRequest: readRequestId(response.headers),
    bodyDigest: digest(Buffer.concat(chunks)),
  };
}
