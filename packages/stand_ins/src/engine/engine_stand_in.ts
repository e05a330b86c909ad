/** Takes a model engine's place: OpenAI-compatible streams from a batch. */

import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {headerOf, readJson, sendJson} from '../http/exchange.js';
import {StandInServer, type ListenOptions} from '../http/stand_in_server.js';
import {Batch, type BatchOptions} from './batch.js';
import {countTokens, promptOf, type CompletionRequest} from './completion.js';
import {drawLength} from './output_length.js';
import {Sequence, type CompletionFormat} from './sequence.js';

/** How an engine stand-in starts. */
export interface EngineStandInOptions extends ListenOptions {
  readonly batch?: BatchOptions;
  readonly seed?: number;
  /** Mean length of answers whose request sets no `max_tokens`. */
  readonly meanOutputTokens?: number;
}

const DEFAULT_MEAN_OUTPUT_TOKENS = 32;
const LOWEST_PRIORITY = 1000;

/** One engine with one batch. */
export class EngineStandIn extends StandInServer {
  protected readonly batch: Batch;
  private readonly options: EngineStandInOptions;

  constructor(options: EngineStandInOptions = {}) {
    super(options);
    this.options = options;
    this.batch = new Batch(options.batch ?? {}, {
      countPrefillTokens: sequence => sequence.options.promptTokens,
      onToken: () => {},
      onFinished: () => {},
    });
    this.server.post('/v1/chat/completions', async (request, response) =>
      this.complete(request, response, 'chat'),
    );
    this.server.post('/v1/completions', async (request, response) =>
      this.complete(request, response, 'text'),
    );
    this.server.get('/v1/load', async (_request, response) => {
      const {running, waiting} = this.batch;
      const measuredAtEpochMs = Date.now();
      const load = {running, waiting, cacheUsedShare: 0, measuredAtEpochMs};
      sendJson(response, 200, load);
    });
    this.server.get('/healthz', async (_request, response) => {
      sendJson(response, 200, {});
    });
  }

  override async stop(): Promise<void> {
    this.batch.clear();
    await super.stop();
  }

  private async complete(
    request: IncomingMessage,
    response: ServerResponse,
    format: CompletionFormat,
  ): Promise<void> {
    const body = await readJson<CompletionRequest>(request);
    const sequence = this.makeSequence(request, body, format);
    sequence.attach(response);
    response.once('close', () => {
      sequence.detach();
      this.batch.remove(sequence);
    });
    this.batch.add(sequence);
  }

  private makeSequence(
    request: IncomingMessage,
    body: CompletionRequest,
    format: CompletionFormat,
  ): Sequence {
    const {text, firstIndex} = promptOf(body);
    const mean = this.options.meanOutputTokens ?? DEFAULT_MEAN_OUTPUT_TOKENS;
    const drawn = drawLength(text, this.options.seed ?? 0, mean) - firstIndex;
    const priority = headerOf(request, 'x-request-priority');
    return new Sequence({
      requestId: headerOf(request, 'x-request-id') ?? randomUUID(),
      model: body.model,
      format,
      prompt: text,
      promptTokens: countTokens(text) + firstIndex,
      firstIndex,
      length: Math.max(1, body.max_tokens ?? drawn),
      priority: priority === undefined ? LOWEST_PRIORITY : Number(priority),
    });
  }
}
