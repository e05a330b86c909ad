/** Buffers an answer and sends it as one JSON object. */

import type {ServerResponse} from 'node:http';
import type {RequestId} from '@snipestage/types/ids.js';
import type {Refusal} from '@snipestage/types/refusal.js';
import {mayDiscard} from '../admit/response_recorder.js';
import type {CompletionPath} from '../send/engine_driver.js';
import {AnswerSink, type AnswerPiece, type AnswerUsage} from './answer_sink.js';
import {sendRefusal} from './refusal_response.js';

const MS_PER_SECOND = 1000;

/** Options of {@link BufferedSink}. */
export interface BufferedSinkOptions {
  readonly response: ServerResponse;
  readonly requestId: RequestId;
  readonly path: CompletionPath;
  readonly model: string;
}

/** Sends nothing to the caller before the answer is complete. */
export class BufferedSink extends AnswerSink {
  private text = '';
  private finishReason = 'stop';
  private delivered = 0;

  constructor(private readonly options: BufferedSinkOptions) {
    super();
  }

  get hasBegun(): boolean {
    return this.options.response.headersSent;
  }

  get deliveredTokens(): number {
    return this.delivered;
  }

  write(piece: AnswerPiece): undefined {
    this.text += piece.text;
    if (piece.finishReason !== undefined) {
      this.finishReason = piece.finishReason;
    }
    return undefined;
  }

  async finish(usage: AnswerUsage): Promise<void> {
    const {response, requestId} = this.options;
    if (mayDiscard(response)) return;
    this.delivered = usage.outputTokens;
    response.writeHead(200, {
      'content-type': 'application/json',
      'x-request-id': requestId,
    });
    response.end(JSON.stringify(this.body(usage)));
  }

  fail(refusal: Refusal): void {
    sendRefusal(this.options.response, refusal, this.options.requestId);
  }

  private body(usage: AnswerUsage): object {
    const {path, model, requestId} = this.options;
    const isChat = path === '/v1/chat/completions';
    const content = isChat
      ? {message: {role: 'assistant', content: this.text}}
      : {text: this.text};
    return {
      id: requestId,
      object: isChat ? 'chat.completion' : 'text_completion',
      created: Math.floor(Date.now() / MS_PER_SECOND),
      model,
      choices: [{index: 0, ...content, finish_reason: this.finishReason}],
      usage: {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.outputTokens,
        total_tokens: usage.promptTokens + usage.outputTokens,
      },
    };
  }
}
