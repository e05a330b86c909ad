/** A caller that keeps its connection open for as long as it lasts. */

import {request as httpRequest, type IncomingMessage} from 'node:http';
import {
  composeCallerHeaders,
  readRequestId,
  readSignature,
} from '@snipestage/platform_stand_ins/caller_headers.js';
import {digest} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import {brandAs, type RequestId} from '@snipestage/types/ids.js';
import {readEvents} from '@snipestage/platform_stand_ins/stream_text.js';
import type {Outcome, SentRequest} from '../history.js';
import {CallerConnection} from './caller_connection.js';
import type {Instance} from './instance.js';
import {HOST} from './operator.js';
import type {DrawnRequest} from './request_draw.js';

/** Callers wait this long beyond their timeout, to see late answers. */
const LATE_ANSWER_WAIT_MS = 1500;

/** Sends one request at a time. */
export class Caller {
  isBusy = false;
  private connection: CallerConnection | undefined;
  private current: Instance | undefined;
  private connectedAtMs = 0;

  constructor(private readonly nowMs: () => number) {}

  /** The instance of its current connection or the last one. */
  get instance(): Instance | undefined {
    return this.current;
  }

  /** Whether a connection is open that carries no request. */
  get hasConnection(): boolean {
    return this.connection?.isFree === true;
  }

  /**
   * Closes the previous connection and opens one, without sending a request.
   *
   * @returns false when it could not be opened.
   */
  async connectTo(instance: Instance): Promise<boolean> {
    this.close();
    this.current = instance;
    // The link in front of an instance accepts even when the instance refuses.
    if (!(await instance.isListening())) return false;
    const connection = new CallerConnection(instance.callersAddress);
    this.connection = connection;
    this.connectedAtMs = this.nowMs();
    return connection.opened();
  }

  /** Resolves when the request has ended, whatever its outcome. */
  async send(drawn: DrawnRequest): Promise<void> {
    const {request} = drawn;
    request.connectedAtMs = this.connectedAtMs;
    request.outcome = await this.exchange(drawn);
    request.endedAtMs = this.nowMs();
  }

  close(): void {
    this.connection?.close();
    this.connection = undefined;
  }

  private exchange(drawn: DrawnRequest): Promise<Outcome> {
    const {request, body, promptTokens, hangsUpAfterMs} = drawn;
    return new Promise(resolve => {
      let hasSent = false;
      const call = httpRequest({
        agent: this.connection,
        method: body === '' ? 'GET' : 'POST',
        path: request.path,
        headers: composeCallerHeaders({
          requestId: brandAs<RequestId>(request.requestId),
          host: HOST,
          callerTimeoutMs: request.callerTimeoutMs,
          key: request.key,
          promptTokens,
          promptParts: composeParts(request),
          takesUp: request.takesUp,
        }),
      });
      const end = (outcome: Outcome) => {
        clearTimeout(giveUpTimer);
        clearTimeout(hangUpTimer);
        resolve(outcome);
        if (outcome.kind !== 'answered') call.destroy();
      };
      const giveUpTimer = setTimeout(
        () => end({kind: 'unanswered'}),
        request.callerTimeoutMs + LATE_ANSWER_WAIT_MS,
      );
      const hangUpTimer =
        hangsUpAfterMs === undefined
          ? undefined
          : setTimeout(() => end({kind: 'left'}), hangsUpAfterMs);
      call.once('finish', () => {
        hasSent = true;
        request.lastByteAtMs = this.nowMs();
      });
      call.on(
        'response',
        response => void readAnswer(response, request).then(end),
      );
      call.on('error', () => end({kind: hasSent ? 'broken' : 'not_connected'}));
      call.end(body);
    });
  }
}

async function readAnswer(
  response: IncomingMessage,
  request: SentRequest,
): Promise<Outcome> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch {
    return {kind: 'broken'};
  } finally {
    request.events = readEvents(Buffer.concat(chunks).toString());
  }
  if (!response.complete) return {kind: 'broken'};
  return {
    kind: 'answered',
    status: response.statusCode ?? 0,
    signature: readSignature(response.headers),
    answeredRequestId: readRequestId(response.headers),
    bodyDigest: digest(Buffer.concat(chunks)),
  };
}

function composeParts({sharedParts = [], requestId}: SentRequest): string[] {
  return sharedParts.length === 0 ? [] : [...sharedParts, requestId];
}
