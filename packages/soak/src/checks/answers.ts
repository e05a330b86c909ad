/** What callers are told has to be true, whole and their own. */

import {
  digest,
  completeStreamText,
} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {History, Outcome, SentRequest} from '../history.js';
import {Check, mayRunOnce, type Finding} from './check.js';

type Answered = Extract<Outcome, {kind: 'answered'}>;

/** Statuses that say that a request has not run and never will. */
const PROMISING: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A request that may not be repeated runs once at most. */
export class AtMostOnce extends Check {
  readonly name = 'at_most_once';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const runs = history.runsOf(request.requestId).length;
      const isBroken = mayRunOnce(request) && runs > 1;
      return isBroken ? [this.foundFor(request, `${runs} runs`)] : [];
    });
  }
}

/** A refusal that promises that a request has not run is true for ever. */
export class TrueRefusal extends Check {
  readonly name = 'true_refusal';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const {outcome} = request;
      if (outcome?.kind !== 'answered' || !mayRunOnce(request)) return [];
      if (!PROMISING.has(outcome.status)) return [];
      const runs = history.runsOf(request.requestId).length;
      return runs === 0 ? [] : [this.foundFor(request, 'it had run')];
    });
  }
}

/** A success is the whole answer of an endpoint to this very request. */
export class OwnWholeAnswer extends Check {
  readonly name = 'own_whole_answer';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const {outcome} = request;
      if (outcome?.kind !== 'answered') return [];
      const fault = this.faultOf(history, request, outcome);
      return fault === undefined ? [] : [this.foundFor(request, fault)];
    });
  }

  private faultOf(
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
    if (run.status !== status) return `the endpoint had said ${run.status}`;
    if (outcome.answersRequest !== request.requestId) {
      return `it names ${outcome.answersRequest}`;
    }
    const expected =
      request.kind === 'stream' && isSuccess
        ? digest(completeStreamText(request.requestId, request.path))
        : run.answerDigest;
    return bodyDigest === expected ? undefined : 'not the whole answer';
  }
}

/** Endpoints get what callers sent, in the name of whose key it was. */
export class UnchangedRequest extends Check {
  readonly name = 'unchanged_request';

  find(history: History): readonly Finding[] {
    const known = new Map(history.requests.map(each => [each.requestId, each]));
    return history.runs.flatMap(run => {
      const request = known.get(run.requestId);
      if (request === undefined) {
        const where = `${run.path} at ${run.endpoint}`;
        const what = `nobody sent ${run.requestId} (${where})`;
        return [this.found(what, run.arrivedAtMs)];
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

/** How long past its time a caller may be kept without a final answer. */
const LATE_ANSWER_MS = 500;

/** Whoever is given up on is told so at once. */
export class AnswerInTime extends Check {
  readonly name = 'answer_in_time';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const {sentAtMs, callerTimeoutMs, outcome, instance} = request;
      const dueMs = sentAtMs + callerTimeoutMs + LATE_ANSWER_MS;
      const isLate =
        outcome?.kind === 'unanswered' &&
        history.isInTouch(instance, sentAtMs, dueMs) &&
        !wentSilent(history, request);
      return isLate ? [this.foundFor(request, 'no final answer')] : [];
    });
  }
}

/**
 * Whether the caller's connection was open when those to its instance went
 * silent: it carries nothing for good, and the instance gets no request on it,
 * however long ago that was.
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

/** Statuses with which a proper request is turned away for what it asks. */
const DENIALS: ReadonlySet<number> = new Set([401, 403, 404]);

/** What every configuration allows is never denied. */
export class NoFalseDenial extends Check {
  readonly name = 'no_false_denial';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const {outcome, key, marker} = request;
      const isAlwaysAllowed =
        marker === undefined && !history.keyWithdrawals.has(key);
      const isDenied =
        outcome?.kind === 'answered' && DENIALS.has(outcome.status);
      if (!isAlwaysAllowed || !isDenied) return [];
      return [this.foundFor(request, 'denied')];
    });
  }
}
