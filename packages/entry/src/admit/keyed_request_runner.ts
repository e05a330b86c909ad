/** Runs requests with an idempotency key at most once. */

import type {ServerResponse} from 'node:http';
import {
  beginClaim,
  transitionClaim,
  type AttemptEnd,
  type ClaimDecision,
  type ClaimEvent,
  type ClaimState,
  type ClaimStep,
} from '@snipestage/agreement/claim.js';
import {RequestError} from '@snipestage/errors/request_error.js';
import {
  brandAs,
  type AttemptId,
  type Fingerprint,
  type IdempotencyKey,
} from '@snipestage/types/ids.js';
import {refusalOf} from '../answer/refusal_response.js';
import type {ClusterView} from '../choose/cluster_view.js';
import type {TableExecutor} from '../configure/table_executor.js';
import type {StoredAnswers} from './stored_answers.js';
import type {AdmittedRequest} from './request_intake.js';
import {ResponseRecorder} from './response_recorder.js';

const RETENTION_MS = 24 * 60 * 60 * 1000;
const MAX_KEY_LENGTH = 255;
/** Longest time that a slow or unavailable store delays an answer's end. */
const MAX_END_HOLD_MS = 500;

/** A request with an idempotency key. */
export interface KeyedRequest {
  readonly key: string;
  readonly fingerprint: Fingerprint;
  readonly admitted: AdmittedRequest;
  readonly response: ServerResponse;
}

/** Options of {@link KeyedRequestRunner}. */
export interface KeyedRequestRunnerOptions {
  readonly executor: TableExecutor;
  readonly view: ClusterView;
  readonly answers: StoredAnswers;
}

/**
 * Runs a keyed request only while holding its claim. The end of the answer is
 * sent once the claim is settled, or after {@link MAX_END_HOLD_MS} at the
 * latest, so that a slow store doesn't hold up answers. In the latter case
 * repetitions of the key are refused with "in progress" until the claim is
 * settled.
 */
export class KeyedRequestRunner {
  private readonly settling = new Set<Promise<void>>();

  constructor(private readonly options: KeyedRequestRunnerOptions) {}

  /** Resolves when all pending claims are settled; a shutdown waits for it. */
  async whenSettled(): Promise<void> {
    await Promise.all(this.settling);
  }

  get settlingCount(): number {
    return this.settling.size;
  }

  /**
   * Runs the request under its claim, or replays the stored answer of an
   * earlier attempt.
   *
   * @throws RequestError when it neither runs the request nor replays an
   * answer, with the verdict that follows from the claim; and whatever `run`
   * throws.
   */
  async runOnce(
    request: KeyedRequest,
    run: () => Promise<void>,
  ): Promise<void> {
    checkKey(request.key);
    const claimed = await this.claim(request);
    if (claimed.decision.kind !== 'send') {
      await this.answerWithoutRunning(claimed.decision, request);
      return;
    }
    const recorder = new ResponseRecorder(request.response);
    let end: AttemptEnd | undefined;
    try {
      await run();
    } catch (error) {
      end = attemptEndOf(error);
      throw error;
    } finally {
      const settled = this.settle(claimed.state, request, recorder, end);
      await Promise.race([settled, sleep(MAX_END_HOLD_MS)]);
      recorder.release();
    }
  }

  private async claim(
    request: KeyedRequest,
  ): Promise<{state: ClaimState; decision: ClaimDecision}> {
    const {view} = this.options;
    const {admitted} = request;
    let step = beginClaim({
      clientAccount: admitted.caller.clientAccount.id,
      idempotencyKey: brandAs<IdempotencyKey>(request.key),
      owner: {
        attempt: attemptOf(request),
        fingerprint: request.fingerprint,
        instance: view.self.id,
        incarnation: view.self.incarnation,
        expiresAtEpochMs: Date.now() + RETENTION_MS,
      },
      // Includes leaving instances, which still finish what they run. Without
      // them a request that runs there would be reported as "outcome unknown"
      // instead of "in progress".
      liveIncarnations: view.present().map(member => member.incarnation),
    });
    for (;;) {
      const decision = decisionIn(step);
      if (decision !== undefined) {
        const finished = this.runRemainingEffects(step);
        if (decision.kind !== 'send') void this.track(finished);
        return {state: step.state, decision};
      }
      step = await this.advance(step);
    }
  }

  private async answerWithoutRunning(
    decision: Exclude<ClaimDecision, {readonly kind: 'send'}>,
    request: KeyedRequest,
  ): Promise<void> {
    if (decision.kind !== 'replay') throw refusalFor(decision);
    const {response, admitted} = request;
    await this.options.answers.replay(decision.answer, response, admitted.id);
  }

  private settle(
    state: ClaimState,
    request: KeyedRequest,
    recorder: ResponseRecorder,
    failedEnd: AttemptEnd | undefined,
  ): Promise<void> {
    const settle = async () => {
      const end = failedEnd ?? (await this.storeAnswer(request, recorder));
      const event: ClaimEvent = {kind: 'attempt_ended', end, nowMs: 0};
      await this.runRemainingEffects(transitionClaim(state, event));
    };
    return this.track(settle());
  }

  private async storeAnswer(
    request: KeyedRequest,
    recorder: ResponseRecorder,
  ): Promise<AttemptEnd> {
    const recorded = recorder.read();
    if (recorded === undefined) return {kind: 'unknown', verdict: 'ran'};
    const {answers} = this.options;
    const answer = await answers.store(attemptOf(request), recorded);
    if (answer === undefined) return {kind: 'unknown', verdict: 'ran'};
    return {kind: 'ran', answer};
  }

  /**
   * Carries out the step's effects, and those that follow, until none is left.
   */
  private async runRemainingEffects(step: ClaimStep): Promise<void> {
    let next = step;
    while (next.effects.some(effect => effect.kind !== 'decide')) {
      next = await this.advance(next);
    }
  }

  private async advance(step: ClaimStep): Promise<ClaimStep> {
    const effect = step.effects.find(({kind}) => kind !== 'decide');
    if (effect === undefined || effect.kind === 'decide') return step;
    const event = await this.options.executor.carryOut(effect);
    return transitionClaim(step.state, event);
  }

  private track(work: Promise<void>): Promise<void> {
    this.settling.add(work);
    return work.finally(() => this.settling.delete(work));
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms).unref());
}

function attemptOf({admitted}: KeyedRequest): AttemptId {
  return brandAs<AttemptId>(admitted.id);
}

function decisionIn(step: ClaimStep): ClaimDecision | undefined {
  for (const effect of step.effects) {
    if (effect.kind === 'decide') return effect.decision;
  }
  return undefined;
}

function checkKey(key: string): void {
  if (key.length > 0 && key.length <= MAX_KEY_LENGTH) return;
  throw new RequestError(
    `The Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} characters.`,
    {code: 'invalid_request', verdict: 'not_run'},
  );
}

function attemptEndOf(error: unknown): AttemptEnd {
  const {verdict} = refusalOf(error);
  if (verdict === 'not_run') return {kind: 'not_run'};
  return {kind: 'unknown', verdict};
}

function refusalFor(
  decision: Exclude<ClaimDecision, {readonly kind: 'send' | 'replay'}>,
): RequestError {
  switch (decision.kind) {
    case 'content_conflict':
      return new RequestError(
        'The Idempotency-Key was used for another request.',
        {code: 'idempotency_conflict', verdict: 'not_run'},
      );
    case 'in_progress':
      return new RequestError('The request under this key is in progress.', {
        code: 'idempotency_in_progress',
        verdict: 'may_have_run',
        retryAfterMs: decision.retryAfterMs,
      });
    case 'outcome_unknown':
      return new RequestError(
        'An earlier attempt under this key may have run; it is not repeated.',
        {code: 'outcome_unknown', verdict: decision.verdict},
      );
    case 'unavailable':
      return new RequestError('The Idempotency-Key can not be claimed now.', {
        code: 'idempotency_unavailable',
        // An earlier attempt under the key is unknown as long as the claim is.
        verdict: 'may_have_run',
        retryAfterMs: decision.retryAfterMs,
      });
  }
}
