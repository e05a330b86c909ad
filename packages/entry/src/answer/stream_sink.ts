/** Sends an answer as server-sent events, piece by piece. */

import type {ServerResponse} from 'node:http';
import type {RequestId} from '@snipestage/types/ids.js';
import type {Refusal} from '@snipestage/types/refusal.js';
import {mayDiscard} from '../admit/response_recorder.js';
import {AnswerSink, type AnswerPiece, type AnswerUsage} from './answer_sink.js';
import {refusalBody, sendRefusal} from './refusal_response.js';

/** Options of {@link StreamSink}. */
export interface StreamSinkOptions {
  readonly response: ServerResponse;
  readonly requestId: RequestId;
  /** Whether the caller asked for a last chunk with the usage. */
  readonly includeUsage?: boolean;
}

/** Ends complete answers, and only those, with the event `[DONE]`. */
export class StreamSink extends AnswerSink {
  private readonly response: ServerResponse;
  private tokens = 0;

  constructor(private readonly options: StreamSinkOptions) {
    super();
    this.response = options.response;
  }

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  get deliveredTokens(): number {
    return this.tokens;
  }

  write(piece: AnswerPiece): Promise<void> | undefined {
    this.begin();
    if (piece.text !== '') this.tokens += 1;
    return this.send({...piece.chunk, id: this.options.requestId});
  }

  async finish(usage: AnswerUsage): Promise<void> {
    this.begin();
    if (this.options.includeUsage) {
      await this.send({
        id: this.options.requestId,
        choices: [],
        usage: {
          prompt_tokens: usage.promptTokens,
          completion_tokens: usage.outputTokens,
          total_tokens: usage.promptTokens + usage.outputTokens,
        },
      });
    }
    this.response.end('data: [DONE]\n\n');
  }

  fail(refusal: Refusal): void {
    const {requestId} = this.options;
    if (!this.hasBegun) {
      sendRefusal(this.response, refusal, requestId);
      return;
    }
    const body = JSON.stringify(refusalBody(refusal, requestId));
    this.response.end(`data: ${body}\n\n`);
  }

  private begin(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': this.options.requestId,
    });
  }

  private send(chunk: object): Promise<void> | undefined {
    if (mayDiscard(this.response)) return undefined;
    const hasRoom = this.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    if (hasRoom || this.response.destroyed) return undefined;
    return untilDrained(this.response);
  }
}

async function untilDrained(response: ServerResponse): Promise<void> {
  await new Promise<void>(resolve => {
    response.once('drain', resolve);
    response.once('close', resolve);
  });
}
