/** Runs service calls: acquires permits, makes attempts, retries failures. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {RequestClass} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type AttemptId,
  type EndpointId,
  type RequestId,
} from '@snipestage/types/ids.js';
import {worseVerdict, type Verdict} from '@snipestage/types/verdict.js';
import {acquirePermit} from '../choose/acquire_permit.js';
import type {Permit, PermitRequest, Permits} from '../choose/permits.js';
import type {MonotonicClock} from '../clock.js';
import {outcomeOf} from './attempt_outcome.js';
import {EndpointError} from './endpoint_error.js';
import type {PlainHeaders} from './forwarded_headers.js';
import type {RetryPolicy} from './retry_policy.js';
import type {ServiceAnswer, ServiceDriver} from './service_driver.js';

/** A service call to run. */
export interface ServiceWork {
  readonly requestId: RequestId;
  readonly method: string;
  readonly path: string;
  readonly headers: PlainHeaders;
  readonly body: Buffer;
  readonly timeoutMs: number;
  readonly requestClass: RequestClass;
  readonly arrivedAtMs: number;
  readonly signal: AbortSignal;
  readonly permit: Omit<PermitRequest, 'attempt' | 'remainingMs' | 'excluded'>;
  readonly onStart?: () => void;
}

type AttemptResult =
  | {readonly kind: 'answered'; readonly answer: ServiceAnswer}
  | {readonly kind: 'failed'; readonly error: EndpointError};

/** Options of {@link ServiceRunner}. */
export interface ServiceRunnerOptions {
  readonly permits: Permits;
  readonly driver: ServiceDriver;
  readonly retryPolicy: RetryPolicy;
  readonly clock: MonotonicClock;
}

/**
 * Runs service calls. A call that isn't repeatable is retried only while no
 * byte of it has been sent: repeating a booking whose answer was lost would
 * book twice.
 */
export class ServiceRunner {
  constructor(private readonly options: ServiceRunnerOptions) {}

  /**
   * Runs until an attempt is answered.
   *
   * @throws RequestError with the verdict over all attempts.
   */
  async run(work: ServiceWork): Promise<ServiceAnswer> {
    const excluded: EndpointId[] = [];
    let verdict: Verdict = 'not_run';
    this.options.retryPolicy.countRequest(work.requestClass.id);
    for (let attempts = 1; ; attempts += 1) {
      const attempt = brandAs<AttemptId>(`${work.requestId}.${attempts}`);
      const permit = await this.acquire(work, attempt, excluded, verdict);
      work.onStart?.();
      const result = await this.attempt(work, attempt, permit);
      if (result.kind === 'answered') return result.answer;
      verdict = worseVerdict(verdict, result.error.verdict);
      excluded.push(permit.endpoint.id);
      this.decide(work, result.error, verdict, attempts);
    }
  }

  private acquire(
    work: ServiceWork,
    attempt: AttemptId,
    excluded: readonly EndpointId[],
    verdict: Verdict,
  ): Promise<Permit> {
    const elapsedMs = this.options.clock() - work.arrivedAtMs;
    const remainingMs = work.requestClass.deadlineMs - elapsedMs;
    return acquirePermit(
      this.options.permits,
      {...work.permit, attempt, remainingMs, excluded},
      work.signal,
      verdict,
    );
  }

  private async attempt(
    work: ServiceWork,
    attempt: AttemptId,
    permit: Permit,
  ): Promise<AttemptResult> {
    const startedAtMs = this.options.clock();
    try {
      const answer = await this.options.driver.call({
        url: permit.endpoint.url,
        method: work.method,
        path: work.path,
        headers: work.headers,
        body: work.body,
        attempt,
        signal: work.signal,
        mayStillSend: permit.mayStillSend,
        timeoutMs: work.timeoutMs,
      });
      const firstTokenMs = this.options.clock() - startedAtMs;
      permit.release({
        outcome: 'ok',
        firstTokenMs,
        backoffMs: answer.backoffMs,
      });
      return {kind: 'answered', answer};
    } catch (error) {
      if (!(error instanceof EndpointError)) {
        permit.release({outcome: 'failed'});
        throw error;
      }
      const connectionBroke = error.kind === 'broken';
      permit.release({outcome: outcomeOf(error), connectionBroke});
      return {kind: 'failed', error};
    }
  }

  /** Throws the refusal unless there is to be another attempt. */
  private decide(
    work: ServiceWork,
    error: EndpointError,
    verdict: Verdict,
    attempts: number,
  ): void {
    const elapsedMs = this.options.clock() - work.arrivedAtMs;
    const decision = this.options.retryPolicy.decide({
      requestClass: work.requestClass.id,
      verdict,
      repeatable: work.permit.repeatable,
      attempts,
      remainingMs: work.requestClass.deadlineMs - elapsedMs,
      cause: error.kind,
    });
    if (decision.kind === 'retry' && !work.signal.aborted) return;
    const isUnknown = verdict !== 'not_run' && !work.permit.repeatable;
    throw new RequestError(
      isUnknown
        ? 'The service did not answer; the call may have run.'
        : `The service failed: ${error.message}`,
      {
        code: isUnknown ? 'outcome_unknown' : 'endpoint_failed',
        verdict,
        retryAfterMs:
          decision.kind === 'stop' && !isUnknown
            ? decision.retryAfterMs
            : undefined,
        cause: error,
      },
    );
  }
}
