/** Runs model requests: acquires permits, makes attempts, retries failures. */

import type {Metrics} from '@snipestage/log/metrics.js';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {RequestClass} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type AttemptId,
  type EndpointId,
  type RequestId,
} from '@snipestage/types/ids.js';
import type {AttemptOutcome} from '@snipestage/types/permits.js';
import {worseVerdict, type Verdict} from '@snipestage/types/verdict.js';
import type {AnswerSink, AnswerUsage} from '../answer/answer_sink.js';
import {acquirePermit, withVerdict} from '../choose/acquire_permit.js';
import type {Permit, PermitRequest, Permits} from '../choose/permits.js';
import type {MonotonicClock} from '../clock.js';
import {AttemptMeter} from './attempt_meter.js';
import {continuationBody} from './continuation.js';
import {EndpointError} from './endpoint_error.js';
import type {
  CompletionPath,
  EngineCall,
  EngineDriver,
  EngineEvent,
} from './engine_driver.js';
import {outcomeOf} from './attempt_outcome.js';
import {delay, firstTokenTimeoutMs} from './attempt_times.js';
import {timeToStartMs} from './time_to_start.js';
import type {RetryDecision, RetryPolicy} from './retry_policy.js';

/** A model request to run. */
export interface ModelWork {
  readonly requestId: RequestId;
  readonly path: CompletionPath;
  readonly body: Readonly<Record<string, unknown>>;
  readonly requestClass: RequestClass;
  readonly arrivedAtMs: number;
  /**
   * Aborts when the caller disconnects, its key is withdrawn, or a shutdown's
   * grace time is over.
   */
  readonly signal: AbortSignal;
  /** The permit request without the fields that change with each attempt. */
  readonly permit: Omit<PermitRequest, 'attempt' | 'remainingMs' | 'excluded'>;
  /** Called when an attempt has got its permit, before it is sent. */
  readonly onStart?: () => void;
  /**
   * Called when an attempt's first token has been passed to the sink, and again
   * with later events.
   */
  readonly onFirstToken?: () => void;
}

/** Options of {@link ModelRunner}. */
export interface ModelRunnerOptions {
  readonly permits: Permits;
  readonly driver: EngineDriver;
  readonly retryPolicy: RetryPolicy;
  readonly clock: MonotonicClock;
  readonly chunkTimeoutMs: number;
  readonly metrics: Metrics;
}

/** Progress of a request over all its attempts. */
interface Progress {
  text: string;
  outputTokens: number;
  promptTokens: number;
  attempts: number;
  verdict: Verdict;
  readonly excluded: EndpointId[];
}

/**
 * Runs model requests, and resumes or repeats failed attempts, so that each
 * caller gets its own answer completely.
 */
export class ModelRunner {
  constructor(private readonly options: ModelRunnerOptions) {}

  /**
   * Runs until the answer is complete.
   *
   * @throws RequestError with the verdict over all attempts.
   */
  async run(work: ModelWork, sink: AnswerSink): Promise<AnswerUsage> {
    const progress: Progress = {
      text: '',
      outputTokens: 0,
      promptTokens: 0,
      attempts: 0,
      verdict: 'not_run',
      excluded: [],
    };
    this.options.retryPolicy.countRequest(work.requestClass.id);
    for (;;) {
      const permit = await this.acquire(work, progress);
      work.onStart?.();
      const isContinued = progress.outputTokens > 0;
      const error = await this.attempt(work, permit, progress, sink);
      if (error === undefined) {
        if (isContinued) this.countResumed(work, 'continued');
        const usage = usageOf(progress);
        await sink.finish(usage);
        return usage;
      }
      progress.verdict = worseVerdict(progress.verdict, error.verdict);
      progress.excluded.push(permit.endpoint.id);
      await this.decide(work, progress, error);
    }
  }

  private async acquire(work: ModelWork, progress: Progress): Promise<Permit> {
    progress.attempts += 1;
    const {expectedTokens} = work.permit;
    const elapsedMs = this.options.clock() - work.arrivedAtMs;
    const time = {elapsedMs, expectedTokens};
    return acquirePermit(
      this.options.permits,
      {
        ...work.permit,
        attempt: attemptId(work.requestId, progress.attempts),
        remainingMs: timeToStartMs(work.requestClass, time),
        excluded: progress.excluded,
      },
      work.signal,
      progress.verdict,
    );
  }

  /** Makes one attempt, with up to one try to resume it at the same engine. */
  private async attempt(
    work: ModelWork,
    permit: Permit,
    progress: Progress,
    sink: AnswerSink,
  ): Promise<EndpointError | undefined> {
    const meter = new AttemptMeter(this.options.clock);
    let outcome: AttemptOutcome = 'failed';
    let connectionBroke = false;
    let backoffMs: number | undefined;
    try {
      const error = await this.readOrResume(
        work,
        permit,
        progress,
        sink,
        meter,
      );
      outcome = error === undefined ? 'ok' : outcomeOf(error);
      connectionBroke = error?.kind === 'broken';
      backoffMs = error?.backoffMs;
      if (error?.kind === 'cancelled') this.cancel(work, permit, progress);
      return error;
    } finally {
      permit.release({
        outcome,
        connectionBroke,
        backoffMs,
        promptTokens: progress.promptTokens,
        outputTokens: meter.outputTokens,
        firstTokenMs: meter.firstTokenMs,
        betweenTokensMs: meter.betweenTokensMs,
      });
    }
  }

  /**
   * Reads the answer. When the connection fails after the first token, tries
   * once to resume the stream, which the engine keeps for a while.
   */
  private async readOrResume(
    work: ModelWork,
    permit: Permit,
    progress: Progress,
    sink: AnswerSink,
    meter: AttemptMeter,
  ): Promise<EndpointError | undefined> {
    const error = await this.read(work, permit, progress, sink, meter);
    if (error === undefined || !mayResume(error, meter)) return error;
    const again = await this.read(work, permit, progress, sink, meter);
    if (again !== undefined) return error;
    this.countResumed(work, 'same_engine');
    return undefined;
  }

  private countResumed(
    {requestClass}: ModelWork,
    way: 'same_engine' | 'continued',
  ): void {
    const tags = {class: requestClass.id, way};
    this.options.metrics.count('streams_resumed', 1, tags);
  }

  private cancel(work: ModelWork, permit: Permit, progress: Progress): void {
    const attempt = attemptId(work.requestId, progress.attempts);
    void this.options.driver.cancel(permit.endpoint.url, attempt);
  }

  private async read(
    work: ModelWork,
    permit: Permit,
    progress: Progress,
    sink: AnswerSink,
    meter: AttemptMeter,
  ): Promise<EndpointError | undefined> {
    const resumeOffset = meter.outputTokens || undefined;
    const call: EngineCall = {
      url: permit.endpoint.url,
      path: work.path,
      attempt: attemptId(work.requestId, progress.attempts),
      body: continuationBody(work.path, work.body, progress),
      tier: work.requestClass.tier,
      signal: work.signal,
      mayStillSend: permit.mayStillSend,
      firstTokenTimeoutMs: firstTokenTimeoutMs(work.requestClass),
      chunkTimeoutMs: this.options.chunkTimeoutMs,
      resumeOffset,
    };
    try {
      await this.options.driver.run(call, events => {
        const written = events.map(event =>
          this.take(event, progress, sink, meter),
        );
        if (meter.outputTokens > 0) work.onFirstToken?.();
        permit.progress(meter.outputTokens);
        const slow = written.filter(wait => wait !== undefined);
        return slow.length === 0 ? undefined : waitForAll(slow);
      });
      return undefined;
    } catch (error) {
      if (error instanceof EndpointError) return error;
      throw error;
    }
  }

  /** Handles an event; returns a promise only when the caller reads slowly. */
  private take(
    event: EngineEvent,
    progress: Progress,
    sink: AnswerSink,
    meter: AttemptMeter,
  ): Promise<void> | undefined {
    if (event.kind === 'usage') {
      progress.promptTokens = event.promptTokens;
      return undefined;
    }
    const {chunk, finishReason} = event;
    const text = event.kind === 'token' ? event.text : '';
    if (event.kind === 'token') {
      meter.token();
      progress.text += text;
      progress.outputTokens += 1;
    }
    return sink.write({text, finishReason, chunk});
  }

  /**
   * Resolves after the retry delay when there is to be another attempt; throws
   * the refusal if not.
   */
  private async decide(
    work: ModelWork,
    progress: Progress,
    error: EndpointError,
  ): Promise<void> {
    if (work.signal.aborted) throw abortReason(work.signal, progress.verdict);
    const elapsedMs = this.options.clock() - work.arrivedAtMs;
    const decision: RetryDecision = this.options.retryPolicy.decide({
      requestClass: work.requestClass.id,
      verdict: progress.verdict,
      repeatable: work.permit.repeatable,
      attempts: progress.attempts,
      remainingMs: work.requestClass.deadlineMs - elapsedMs,
      cause: error.kind,
    });
    if (decision.kind === 'stop') {
      throw new RequestError(`The endpoint failed: ${error.message}`, {
        code: 'endpoint_failed',
        verdict: progress.verdict,
        retryAfterMs: decision.retryAfterMs,
        cause: error,
      });
    }
    await delay(decision.afterMs, work.signal);
  }
}

async function waitForAll(waits: ReadonlyArray<Promise<void>>): Promise<void> {
  await Promise.all(waits);
}

function usageOf(progress: Progress): AnswerUsage {
  return {
    promptTokens: progress.promptTokens,
    outputTokens: progress.outputTokens,
  };
}

/** Each attempt has its own id, so that their answers can't be mixed up. */
function attemptId(request: RequestId, attempt: number): AttemptId {
  return brandAs<AttemptId>(`${request}.${attempt}`);
}

function mayResume(error: EndpointError, meter: AttemptMeter): boolean {
  const isLinkFault = error.kind === 'broken' || error.kind === 'silent';
  return isLinkFault && meter.outputTokens > 0;
}

/**
 * The refusal that the signal aborted with, or one for a caller that has
 * disconnected; with the verdict over all attempts.
 */
function abortReason(signal: AbortSignal, verdict: Verdict): RequestError {
  const reason: unknown = signal.reason;
  if (reason instanceof RequestError) return withVerdict(reason, verdict);
  return new RequestError('The caller hung up.', {code: 'internal', verdict});
}
