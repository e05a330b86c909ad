/** Serves the OpenAI-compatible completion calls. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {AttemptLimit} from '@snipestage/policy/stop_admission.js';
import type {Model} from '@snipestage/types/configuration.js';
import type {UsageCounterTask} from '../account/usage_counter_task.js';
import type {KeyedRequestRunner} from '../admit/keyed_request_runner.js';
import {idempotencyKeyOf} from '../identify/idempotency_key.js';
import type {AdmittedRequest} from '../admit/request_intake.js';
import type {StopGate} from '../admit/stop_gate.js';
import type {AnswerSink} from '../answer/answer_sink.js';
import {refusalOf} from '../answer/refusal_response.js';
import {StreamSink} from '../answer/stream_sink.js';
import {BufferedSink} from '../answer/buffered_sink.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import {
  fingerprintOf,
  prefixHashOf,
  promptFingerprintOf,
} from '../identify/fingerprint.js';
import type {CompletionPath} from '../send/engine_driver.js';
import type {ModelRunner, ModelWork} from '../send/model_runner.js';
import {parseJsonObject, readBody} from './read_body.js';

/** Options of {@link ModelHandler}. */
export interface ModelHandlerOptions {
  readonly store: ConfigurationStore;
  readonly runner: ModelRunner;
  readonly claims: KeyedRequestRunner;
  readonly gate: StopGate;
  readonly usage: UsageCounterTask;
  readonly maxBodyBytes: number;
}

/** A parsed model request. */
interface ModelRequest {
  readonly path: CompletionPath;
  readonly model: Model;
  readonly body: Readonly<Record<string, unknown>>;
  readonly bodyBytes: Buffer;
}

/** Reads, runs and answers model requests, and records their usage. */
export class ModelHandler {
  constructor(private readonly options: ModelHandlerOptions) {}

  async handle(
    path: CompletionPath,
    request: IncomingMessage,
    response: ServerResponse,
    admitted: AdmittedRequest,
  ): Promise<void> {
    const {gate, maxBodyBytes} = this.options;
    const bodyBytes = await gate.whileStartable(
      limitOf(admitted),
      admitted.signal,
      signal => readBody(request, maxBodyBytes, signal),
    );
    const body = parseJsonObject(bodyBytes);
    const model = this.findModel(body);
    const parsed: ModelRequest = {path, model, body, bodyBytes};
    const sink = createSink(parsed, response, admitted);
    const run = () => this.run(parsed, admitted, sink);
    const idempotencyKey = idempotencyKeyOf(request.headers);
    if (idempotencyKey === undefined) {
      await run();
      return;
    }
    admitted.inFlight.mayBeAborted = false;
    const {id} = admitted.caller.clientAccount;
    const fingerprint = fingerprintOf(id, path, bodyBytes);
    await this.options.claims.runOnce(
      {key: idempotencyKey, fingerprint, admitted, response},
      run,
    );
  }

  private findModel(body: Readonly<Record<string, unknown>>): Model {
    const name = body.model;
    if (typeof name !== 'string') {
      throw new RequestError('The field "model" is missing.', {
        code: 'invalid_request',
        verdict: 'not_run',
      });
    }
    const model = this.options.store.current.models.get(name);
    if (model !== undefined) return model;
    throw new RequestError(`There is no model "${name}".`, {
      code: 'model_not_found',
      verdict: 'not_run',
    });
  }

  private async run(
    parsed: ModelRequest,
    admitted: AdmittedRequest,
    sink: AnswerSink,
  ): Promise<void> {
    let promptTokens = 0;
    try {
      const usage = await this.options.runner.run(
        workOf(parsed, admitted),
        sink,
      );
      promptTokens = usage.promptTokens;
    } catch (error) {
      if (sink.hasBegun) sink.fail(refusalOf(error));
      throw error;
    } finally {
      this.count(admitted, sink.deliveredTokens, promptTokens);
    }
  }

  /**
   * Records the usage to be billed: the output tokens sent to the caller, and
   * the prompt tokens if the answer was completed; nothing if there are
   * neither.
   */
  private count(
    admitted: AdmittedRequest,
    outputTokens: number,
    promptTokens: number,
  ): void {
    if (outputTokens === 0 && promptTokens === 0) return;
    this.options.usage.add({
      clientAccount: admitted.caller.clientAccount.id,
      requestClass: admitted.caller.requestClass.id,
      requests: 1,
      promptTokens,
      outputTokens,
    });
  }
}

function createSink(
  parsed: ModelRequest,
  response: ServerResponse,
  admitted: AdmittedRequest,
): AnswerSink {
  const requestId = admitted.id;
  const {path, model, body} = parsed;
  if (body.stream !== true) {
    return new BufferedSink({response, requestId, path, model: model.id});
  }
  const streamOptions = body.stream_options as
    {include_usage?: boolean} | undefined;
  const includeUsage = streamOptions?.include_usage === true;
  return new StreamSink({response, requestId, includeUsage});
}

/** The deadline, after which a model's answer is worthless. */
function limitOf({arrivedAtMs, caller}: AdmittedRequest): AttemptLimit {
  const {deadlineMs} = caller.requestClass;
  return {kind: 'deadline', atMs: arrivedAtMs + deadlineMs};
}

function workOf(parsed: ModelRequest, admitted: AdmittedRequest): ModelWork {
  const {clientAccount, requestClass} = admitted.caller;
  const {model, body} = parsed;
  const maxTokens = body.max_tokens;
  const expectedTokens =
    typeof maxTokens === 'number'
      ? Math.min(maxTokens, model.typicalOutputTokens)
      : model.typicalOutputTokens;
  return {
    requestId: admitted.id,
    path: parsed.path,
    body,
    requestClass,
    arrivedAtMs: admitted.arrivedAtMs,
    signal: admitted.signal,
    onStart: () => {
      admitted.inFlight.phase = 'running';
    },
    onFirstToken: () => {
      admitted.inFlight.phase = 'answering';
    },
    permit: {
      target: {kind: 'model', model: model.id},
      clientAccount,
      requestClass,
      expectedTokens,
      prefixHash: prefixHashOf(body),
      fingerprint: promptFingerprintOf(clientAccount.id, body),
      limit: limitOf(admitted),
      repeatable: true,
    },
  };
}
