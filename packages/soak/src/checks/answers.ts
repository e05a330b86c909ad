/** Answers that callers get are true, complete and to their own requests. */

import {digest} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import {completeStreamText} from '@snipestage/platform_stand_ins/stream_text.js';
import type {History, Outcome, SentRequest} from '../history.js';
import {Check, mayRunOnlyOnce, type Finding} from './check.js';

type Answered = Extract<Outcome, {kind: 'answered'}>;

/** Statuses that state that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A request that must not be repeated runs at most once. */
export class AtMostOnce extends Check {
  readonly name = 'at_most_once';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const runs = history.runsOf(request.requestId).length;
      const isBroken = mayRunOnlyOnce(request) && runs > 1;
      return isBroken ? [this.foundFor(request, `${runs} runs`)] : [];
    });
  }
}

/** A request refused as not run has not run, and never runs later. */
export class TrueRefusal extends Check {
  readonly name = 'true_refusal';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const {outcome} = request;
      if (outcome?.kind !== 'answered' || !mayRunOnlyOnce(request)) return [];
      if (!NOT_RUN_STATUSES.has(outcome.status)) return [];
      const runs = history.runsOf(request.requestId).length;
      return runs === 0
        ? []
        : [this.foundFor(request, 'refused as not run, but it had run')];
    });
  }
}

/**
 * A success, like any signed answer, is an endpoint's complete answer to this
 * request.
 */
export class OwnWholeAnswer extends Check {
  readonly name = 'own_whole_answer';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const {outcome} = request;
      if (outcome?.kind !== 'answered') return [];
      const fault = this.describeFault(history, request, outcome);
      return fault === undefined ? [] : [this.foundFor(request, fault)];
    });
  }

  private describeFault(
    history: History,
    request: SentRequest,
    outcome: Answered,
  ): string | undefined {
    const {status, signature, bodyDigest} = outcome;
    const isSuccess = status >= 200 && status < 300;
    if (signature === undefined) {
      return isSuccess ? 'a success without a signature' : undefined;
    }
    const run = history
      .runsOf(request.requestId)
      .find(each => each.signature === signature);
    if (run === undefined) return 'the signature of another request';
    if (run.status !== status) return `the endpoint had answered ${run.status}`;
    if (outcome.answeredRequestId !== request.requestId) {
      return `the answer names ${outcome.answeredRequestId}`;
    }
    const expected =
      request.kind === 'stream' && isSuccess
        ? digest(
            completeStreamText({...run, after: request.takesUp?.lastEventId}),
          )
        : run.answerDigest;
    return bodyDigest === expected ? undefined : 'not the whole answer';
  }
}

/** Endpoints get requests unchanged, under the client account of their key. */
export class UnchangedRequest extends Check {
  readonly name = 'unchanged_request';

  find(history: History): readonly Finding[] {
    const known = new Map(history.requests.map(each => [each.requestId, each]));
    return history.runs.flatMap(run => {
      const request = known.get(run.requestId);
      if (request === undefined) {
        const where = `${run.path} at ${run.endpoint}`;
        const message = `no caller sent ${run.requestId} (${where})`;
        return [this.found(message, run.arrivedAtMs)];
      }
      const faults = [
        run.path === request.path ? undefined : 'another path',
        run.bodyDigest === request.bodyDigest ? undefined : 'another body',
        run.hasKey ? 'the key was passed on' : undefined,
        run.clientAccount === request.clientAccount
          ? undefined
          : `in the name of ${run.clientAccount}`,
      ].filter(fault => fault !== undefined);
      return faults.map(fault => this.foundFor(request, fault));
    });
  }
}

/** An answer may come this long after the caller's timeout. */
const ANSWER_SLACK_MS = 500;

/** A caller gets a final answer in time, even when its request is given up. */
export class AnswerInTime extends Check {
  readonly name = 'answer_in_time';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const {sentAtMs, callerTimeoutMs, outcome, instance} = request;
      const dueMs = sentAtMs + callerTimeoutMs + ANSWER_SLACK_MS;
      const lateMs = answeredAfterMs(history, request) - dueMs;
      const message =
        outcome?.kind === 'unanswered'
          ? 'no final answer'
          : `answered ${Math.round(lateMs + ANSWER_SLACK_MS)} ms too late`;
      const isLate = outcome?.kind === 'unanswered' || lateMs > 0;
      const untilMs =
        lateMs > 0 ? Math.max(dueMs, request.endedAtMs ?? dueMs) : dueMs;
      const isBound =
        history.hadStoreContact(instance, sentAtMs, untilMs) &&
        !wentSilent(history, request);
      return isLate && isBound ? [this.foundFor(request, message)] : [];
    });
  }
}

/** When it was answered, without the time in which the soak stood still. */
function answeredAfterMs(
  history: History,
  {outcome, sentAtMs, endedAtMs = sentAtMs}: SentRequest,
): number {
  return outcome?.kind === 'answered'
    ? endedAtMs - history.ownDelayMs(sentAtMs, endedAtMs)
    : Number.NEGATIVE_INFINITY;
}

/**
 * Whether the caller's connection was open when those to its instance went
 * silent. Such a connection carries nothing ever after, so the instance gets no
 * request on it, however long ago that was.
 */
function wentSilent(
  history: History,
  {instance, connectedAtMs}: SentRequest,
): boolean {
  return history.disturbances.some(
    ({subject, kind, fromMs}) =>
      subject === instance &&
      kind === 'callers_way_silent' &&
      connectedAtMs !== undefined &&
      connectedAtMs <= fromMs,
  );
}

/**
 * Statuses that deny a valid request for its form, its key, its account or its
 * path.
 */
const DENIAL_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 404]);

/** A request that every configuration allows is never denied. */
export class NoFalseDenial extends Check {
  readonly name = 'no_false_denial';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const {outcome, key, marker} = request;
      const isAlwaysAllowed =
        marker === undefined && !history.keyWithdrawals.has(key);
      const isDenied =
        outcome?.kind === 'answered' && DENIAL_STATUSES.has(outcome.status);
      if (!isAlwaysAllowed || !isDenied) return [];
      return [this.foundFor(request, 'denied')];
    });
  }
}
