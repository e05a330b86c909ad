/** A request at an engine stand-in, from its arrival to its last token. */

import type {ServerResponse} from 'node:http';
import {tagOf, tokenWithTag} from './completion.js';

/** Formats of the answers that an engine streams. */
export type CompletionFormat = 'chat' | 'text';

/** Options of {@link Sequence}. */
export interface SequenceOptions {
  readonly requestId: string;
  readonly model: string;
  readonly format: CompletionFormat;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly firstIndex: number;
  /** Number of tokens to produce. */
  readonly length: number;
  /** 0 runs first. */
  readonly priority: number;
  /** Number of tokens after which it crashes its engine; never when absent. */
  readonly crashAfterTokens?: number;
  /** Number of tokens after which it hangs permanently; never when absent. */
  readonly hangAfterTokens?: number;
  /** The request whose answer it streams instead of its own, as a fault. */
  readonly answersFor?: Pick<SequenceOptions, 'requestId' | 'prompt'>;
}

/** Produces tokens one by one and streams them to its connection, if any. */
export class Sequence {
  readonly options: SequenceOptions;
  /** Tokens produced so far. */
  produced = 0;
  private readonly tag: string;
  private readonly sentId: string;
  private response: ServerResponse | undefined;

  constructor(options: SequenceOptions) {
    this.options = options;
    this.tag = tagOf((options.answersFor ?? options).prompt);
    this.sentId = (options.answersFor ?? options).requestId;
  }

  get isFinished(): boolean {
    return this.produced >= this.options.length;
  }

  get isHung(): boolean {
    return this.produced === this.options.hangAfterTokens;
  }

  get crashesNow(): boolean {
    return this.produced === this.options.crashAfterTokens;
  }

  /** Streams to the response, starting with the tokens from `offset` on. */
  attach(response: ServerResponse, offset = 0): void {
    this.response = response;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
      'X-Request-Id': this.sentId,
    });
    response.flushHeaders();
    for (let index = offset; index < this.produced; index++) {
      this.write(this.chunkOf(index));
    }
    if (this.isFinished) this.finish();
  }

  detach(): void {
    this.response = undefined;
  }

  /** Ends the stream without usage or `[DONE]`. */
  endEarly(): void {
    this.response?.end();
    this.response = undefined;
  }

  produceToken(): void {
    this.write(this.chunkOf(this.produced));
    this.produced += 1;
    if (this.isFinished) this.finish();
  }

  private finish(): void {
    const {promptTokens} = this.options;
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: this.produced,
      total_tokens: promptTokens + this.produced,
    };
    this.write({...this.envelope(), choices: [], usage});
    this.response?.end('data: [DONE]\n\n');
    this.response = undefined;
  }

  private chunkOf(index: number): object {
    const {firstIndex, format, length} = this.options;
    const text = tokenWithTag(this.tag, firstIndex + index);
    const content =
      format === 'chat' ? {delta: {role: 'assistant', content: text}} : {text};
    const finishReason = index === length - 1 ? 'stop' : null;
    const choice = {index: 0, ...content, finish_reason: finishReason};
    return {...this.envelope(), choices: [choice]};
  }

  private envelope(): object {
    const {format, model} = this.options;
    return {
      id: this.sentId,
      object: format === 'chat' ? 'chat.completion.chunk' : 'text_completion',
      created: 0,
      model,
    };
  }

  private write(event: object): void {
    this.response?.write(`data: ${JSON.stringify(event)}\n\n`);
  }
}
