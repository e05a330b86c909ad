/** One caller's request, from the choice of an endpoint to the final answer. */

import {randomUUID} from 'node:crypto';
import {
  decideAfterFailure,
  failureFor,
  mayRunAgain,
  type AttemptDecision,
} from '@snipestage/routing/attempt_policy.js';
import {ReadFirstTimeout} from '@snipestage/connection/read_first_timeout.js';
import {AttemptHistory} from '@snipestage/routing/attempt_history.js';
import {workOf} from '@snipestage/routing/prompt.js';
import type {
  ArrivedRequest,
  ShedDecision,
} from '@snipestage/routing/load_shedder.js';
import {mayOffer, type Placed} from '@snipestage/routing/placement.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import {
  mayContinue,
  type StreamOrigin,
} from '@snipestage/routing/stream_origin.js';
import {brandAs, type SoftwareVersion} from '@snipestage/types/ids.js';
import {worseVerdict, type Verdict} from '@snipestage/types/verdict.js';
import type {AnswerWriter, WholeAnswer} from './answer_writer.js';
import {Attempt} from './attempt.js';
import {AttemptRecord} from './attempt_record.js';
import {AttemptObservation, NOTHING_SHOWN} from './attempt_observation.js';
import type {FollowedStream} from './migration/followed_stream.js';
import type {MovedRun} from './migration/moved_run.js';
import type {SettledMove} from './migration/stream_move.js';
import type {StreamRun} from './streams/stream_rows.js';
import {recordOutcome, type AttemptOutcome} from './record_outcome.js';
import type {
  AttemptResult,
  ExchangeContext,
  FailedResult,
  ReadRequest,
} from './exchange_context.js';

/** The run was stopped at its engine and goes on from a copy of its memory. */
interface MovedResult {
  readonly kind: 'moved';
  readonly run: MovedRun;
}

/** What belongs to one attempt. */
interface AttemptParts {
  readonly observation: AttemptObservation;
  readonly followed: FollowedStream | undefined;
  readonly movedRun: MovedRun | undefined;
}

/** Owns the attempts of one request; at most one is in progress. */
export class Exchange {
  private readonly history = new AttemptHistory();
  private verdict: Verdict = 'not_run';
  private current: Attempt | undefined;
  /**
   * Replaces an attempt whose endpoint is silent; its retry has been taken from
   * the budget.
   */
  private takeover: Placed | undefined;
  private hasExpired = false;
  private timeout: ReadFirstTimeout | undefined;
  private hasBegunRun = false;
  /** Version at whose endpoint the stream may have begun. */
  private sentTo: SoftwareVersion | undefined;
  /** Names it in the record of its stream. */
  private streamRun: StreamRun | undefined;
  /** Set once an event of the stream has been sent to a caller. */
  private origin: StreamOrigin | undefined;
  private lastFailure: WholeAnswer | undefined;
  private lastReason = 'none';
  /**
   * No endpoint takes a request before this time has passed, as far as known.
   */
  private minRetryAfterMs = 0;
  /**
   * Set when a shedder has refused the request. It knows the time that the
   * caller has left, which other delays may exceed.
   */
  private shedRetryAfterMs: number | undefined;
  /** Whether a retry was given up as the budget for retries was spent. */
  private isRetryBudgetSpent = false;
  /** How often its run was stopped to go on elsewhere. */
  private moves = 0;
  private readonly record = new AttemptRecord();

  constructor(
    private readonly context: ExchangeContext,
    private readonly request: ReadRequest,
    private readonly writer: AnswerWriter,
  ) {
    this.origin = request.origin;
  }

  /** Resolves when the final answer is written or the caller is gone. */
  async run(): Promise<void> {
    const {state, nowMs} = this.context;
    const {service, route} = this.request.admission;
    state.budgetFor(service).countRequest(nowMs());
    const {prompt} = this.request.caller;
    state.countDemand(service, route, prompt, nowMs());
    this.expireAt(this.request.endsAtMs);
    const arrived = this.describeArrived();
    const decision = state.shed(arrived);
    try {
      if (decision.kind === 'refuse') this.refuse(decision);
      else await this.attemptUntilAnswered();
    } finally {
      this.timeout?.cancel();
      if (decision.kind === 'admit') state.endShed(arrived, nowMs());
      this.noteDuration();
      this.noteUnbegun();
      this.noteWait();
      this.returnTrial();
    }
  }

  /** Cancels the current attempt, as the caller has disconnected. */
  cancel(): void {
    this.current?.cancel();
  }

  /**
   * Sends the final answer before an endpoint has given one, since the
   * request's time is over or this instance ends.
   */
  giveUp(reason: string): void {
    if (this.writer.isOver) return;
    this.lastReason = reason;
    // The answer is sent before the attempt is cancelled: once its connection
    // is closed, what the endpoint did is unknown.
    this.fail();
    this.current?.cancel();
  }

  /** Fields for the log line of the request. */
  summarise(): Record<string, unknown> {
    const {firstEventAtMs, longestPauseMs, events} = this.writer;
    const firstMs =
      firstEventAtMs && Math.round(firstEventAtMs - this.request.arrivedAtMs);
    return {
      verdict: this.verdict,
      // Endpoints tried, also those not reached, unlike the history's `offers`.
      offers: this.history.tried.size,
      // Failed attempts that may have run the request.
      runs: this.history.runs,
      // Failed attempts in which no endpoint received the request.
      unreached: this.history.unreached || undefined,
      reason: this.lastReason,
      expired: this.hasExpired || undefined,
      events: events || undefined,
      firstEventMs: firstMs,
      longestPauseMs: events > 0 ? Math.round(longestPauseMs) : undefined,
      isRetryBudgetSpent: this.isRetryBudgetSpent || undefined,
      moves: this.moves || undefined,
      shedRetryAfterMs:
        this.shedRetryAfterMs && Math.round(this.shedRetryAfterMs),
      endpoint: [...this.history.tried].at(-1),
      ...this.record.describe(),
    };
  }

  private expireAt(endsAtMs: number): void {
    const leftMs = Math.max(0, endsAtMs - this.context.nowMs());
    this.timeout = new ReadFirstTimeout(() => this.expire(), leftMs);
  }

  /**
   * An answer that has begun can only be cut off, which tells its caller nothing.
   * It goes on for as long as the caller may wait.
   */
  private expire(): void {
    const {latestEndsAtMs} = this.request;
    const mayGoOn = this.context.nowMs() < latestEndsAtMs;
    if (this.writer.hasBegun && mayGoOn) {
      this.expireAt(latestEndsAtMs);
      return;
    }
    this.hasExpired = true;
    this.giveUp('timeout');
  }

  /**
   * Requests that were given up count too, with the time until then: without
   * them, a route whose long answers are all cut off would appear fast.
   */
  private noteDuration(): void {
    if (this.verdict === 'not_run') return;
    const {state, nowMs} = this.context;
    const {admission, arrivedAtMs} = this.request;
    state.durations.note(admission.route.id, nowMs() - arrivedAtMs);
  }

  private noteUnbegun(): void {
    const {service, route, urgencyRank} = this.request.admission;
    if (route.kind !== 'stream' || this.writer.events > 0) return;
    this.context.metrics.countUnbegunStream(service, urgencyRank);
  }

  /** Of those that never begin, the time until they are given up counts. */
  private noteWait(): void {
    const {state, nowMs} = this.context;
    const {admission, arrivedAtMs} = this.request;
    if (admission.route.kind !== 'stream' || this.verdict === 'not_run') return;
    const untilMs = this.writer.firstEventAtMs ?? nowMs();
    state.waits.note(admission.route.id, untilMs - arrivedAtMs);
  }

  private describeArrived(): ArrivedRequest {
    const {admission, caller, arrivedAtMs, endsAtMs} = this.request;
    const {service, route, clientAccount, urgencyRank} = admission;
    const atMs = this.context.nowMs();
    return {
      service,
      route,
      prompt: caller.prompt,
      clientAccount,
      urgencyRank,
      candidates: this.findCandidates(atMs),
      arrivedAtMs,
      endsAtMs,
      nowMs: atMs,
    };
  }

  private refuse(decision: Extract<ShedDecision, {kind: 'refuse'}>): void {
    this.lastReason = decision.reason;
    this.shedRetryAfterMs = decision.retryAfterMs;
    this.context.metrics.countShed(
      this.request.admission.service,
      decision.reason,
    );
    this.fail();
  }

  private async attemptUntilAnswered(): Promise<void> {
    for (;;) {
      if (this.writer.isOver) return;
      const placed = this.takePlanned() ?? this.choose();
      if (placed === undefined) {
        if (this.history.tried.size === 0) this.noteNoEndpoint();
        return this.fail();
      }
      const mayBegin = this.mayBeginAt(placed.endpoint);
      // Nothing may change between the choice and the attempt otherwise.
      if (mayBegin !== true) {
        if (!(await mayBegin)) {
          this.lastReason = 'stream_not_recorded';
          return this.fail();
        }
        if (this.writer.isOver) return;
      }
      const result = await this.attempt(placed);
      if (result.kind === 'moved') return this.continueMoved(result.run);
      if (result.kind === 'answered' || this.writer.isOver) return;
      if (this.isRefusedAsSuspect()) return this.fail();
      if (!this.mayRetry(result)) return this.fail();
    }
  }

  /**
   * Continues a stopped run until it ends. The request is sent nowhere without
   * the handle any more: that would be another run.
   */
  private async continueMoved(first: MovedRun): Promise<void> {
    for (let run = first; ;) {
      if (this.writer.isOver) return run.release('abandoned');
      const result = await this.attempt({endpoint: run.endpoint}, run);
      if (result.kind === 'moved') {
        run = result.run;
        continue;
      }
      const isOver = result.kind === 'answered' || this.writer.isOver;
      if (isOver) return run.release('abandoned');
      this.lastReason = result.reason;
      if (!run.noteFailed(result.verdict)) return this.fail();
    }
  }

  /** Whether the request has crashed endpoints, by what is known meanwhile. */
  private isRefusedAsSuspect(): boolean {
    const {crashes} = this.context;
    const {fingerprint, parts} = this.request.content;
    const decision = crashes.classify(fingerprint);
    if (decision.kind === 'refuse') {
      this.lastReason = 'suspected_crash';
      this.minRetryAfterMs = decision.retryAfterMs;
      return true;
    }
    const trial = this.hasReachedEndpoint ? [] : this.request.trial;
    if (crashes.parts.mayRun(parts, trial)) return false;
    this.lastReason = 'suspected_part';
    this.minRetryAfterMs = crashes.parts.retryAfterMs(parts);
    return true;
  }

  private get hasReachedEndpoint(): boolean {
    return this.verdict !== 'not_run' || this.history.offers > 0;
  }

  /** A trial that no endpoint got has shown nothing. */
  private returnTrial(): void {
    const {trial} = this.request;
    if (trial.length === 0 || this.hasReachedEndpoint) return;
    void this.context.crashes.parts.returnTrial(trial);
  }

  /** Records why no endpoint could be tried at all. */
  private noteNoEndpoint(): void {
    const {state, nowMs} = this.context;
    const {service} = this.request.admission;
    const {reason, retryAfterMs} = state.explainNoEndpoint(service, nowMs());
    const isOfOtherVersion =
      state.directory.findServing(service, nowMs()).length > 0 &&
      this.findCandidates(nowMs()).length === 0;
    this.lastReason = isOfOtherVersion ? 'no_endpoint_of_version' : reason;
    this.minRetryAfterMs = retryAfterMs;
  }

  /** Records the version of a stream that may begin at an endpoint. */
  private mayBeginAt({
    service,
    softwareVersion,
  }: ServingEndpoint): true | Promise<boolean> {
    const {admission, caller} = this.request;
    if (this.origin !== undefined || !admission.route.isResumable) return true;
    this.sentTo = softwareVersion;
    const {clientAccount} = admission;
    const {streams} = this.context;
    const origin = {service, softwareVersion};
    this.streamRun ??= brandAs<StreamRun>(randomUUID());
    return streams.noteSent(
      clientAccount,
      caller.requestId,
      origin,
      this.streamRun,
    );
  }

  private choose(): Placed | undefined {
    const candidates = this.findCandidates(this.context.nowMs());
    const {sentTo, lastFailure} = this;
    // Its record holds there. Other versions may do better after an error answer.
    const ofSameVersion =
      sentTo === undefined || lastFailure !== undefined
        ? []
        : candidates.filter(each => each.softwareVersion === sentTo);
    const isRestricted =
      ofSameVersion.length > 0 && ofSameVersion.length < candidates.length;
    const placed = isRestricted ? this.chooseAmong(ofSameVersion) : undefined;
    return placed ?? this.chooseAmong(candidates);
  }

  private chooseAmong(
    candidates: readonly ServingEndpoint[],
  ): Placed | undefined {
    const {state, dataCentre, nowMs} = this.context;
    const {route, service} = this.request.admission;
    const atMs = nowMs();
    return state.placementFor(service).choose(candidates, {
      route,
      prompt: this.request.caller.prompt,
      dataCentre,
      excluded: this.history.excluded,
      avoided: this.history.avoided,
      nowMs: atMs,
    });
  }

  private takePlanned(): Placed | undefined {
    const {takeover, origin} = this;
    this.takeover = undefined;
    if (takeover === undefined || origin === undefined) return takeover;
    // It may have been chosen before the first event of the stream came.
    return mayContinue(takeover.endpoint, origin) ? takeover : undefined;
  }

  private mayRetry(result: FailedResult): boolean {
    const {state, nowMs} = this.context;
    const {service} = this.request.admission;
    this.lastReason = result.reason;
    this.lastFailure = result.answer ?? this.lastFailure;
    const {runs, offers, unreached} = this.history;
    const decision = this.decide(result, {runs, offers, unreached});
    if (decision.kind === 'give_up') return false;
    if (!decision.needsBudget || this.takeover !== undefined) return true;
    if (state.budgetFor(service).tryTake(nowMs())) return true;
    this.isRetryBudgetSpent = true;
    this.context.metrics.countUnaffordableRetry(service);
    return false;
  }

  /** @param movedRun a stopped run that is continued. */
  private async attempt(
    placed: Placed,
    movedRun?: MovedRun,
  ): Promise<AttemptResult | MovedResult> {
    const {endpoint, group} = placed;
    const {state, nowMs, metrics} = this.context;
    const {prompt} = this.request.caller;
    if (group !== undefined) metrics.notePlacement(endpoint.service, group);
    if (state.rateLimits.find(endpoint.id) !== undefined) {
      metrics.countRateLimitedAttempt(endpoint.service);
    }
    const work = prompt === undefined ? 1 : workOf(prompt, true);
    this.history.begin(endpoint);
    const startedAtMs = nowMs();
    this.record.noteChoice({
      load: state.monitor.estimateLoad(endpoint.id, startedAtMs),
      loadAgeMs: state.monitor.loadAgeMs(endpoint.id, startedAtMs),
      group,
    });
    state.monitor.begin(endpoint.id, work, startedAtMs);
    state.warmup.noteSent(endpoint, startedAtMs);
    state.rateLimits.noteSent(endpoint.id, startedAtMs);
    state.brittle.noteSent(endpoint, startedAtMs);
    state.reach.noteTrial(endpoint.dataCentre, startedAtMs);
    const observation = new AttemptObservation(state, {
      endpoint,
      route: this.request.admission.route,
      prompt,
      sentAtMs: startedAtMs,
    });
    const followed = this.followStream(endpoint, movedRun);
    const attempt = (this.current = this.createAttempt(placed, {
      observation,
      followed,
      movedRun,
    }));
    let result: AttemptResult;
    let settled: SettledMove | undefined;
    try {
      result = await attempt.run();
      settled = await followed?.end(result.kind === 'answered');
      if (settled !== undefined && settled.kind !== 'none') {
        result = excuse(result);
      }
      observation.end(attempt.describeEnd(result), nowMs());
    } finally {
      observation.end(NOTHING_SHOWN, nowMs());
      state.monitor.end(endpoint.id, work);
      this.current = undefined;
    }
    const progress = attempt.describeProgress();
    this.record.noteProgress(progress);
    const {path, ending, headMs} = progress;
    if (headMs !== undefined)
      metrics.observeHeadWait(endpoint.service, group?.side ?? 'none', headMs);
    const durationMs = nowMs() - startedAtMs;
    const {hasBegun} = attempt;
    if (settled?.kind === 'moved') {
      this.verdict = worseVerdict(this.verdict, 'ran');
      this.moves += 1;
      metrics.countAttempt(endpoint.service, 'moved');
      return settled;
    }
    this.settle({endpoint, result, durationMs, path, ending, hasBegun});
    return result;
  }

  /** Endpoints that may get the request, also those tried already. */
  private findCandidates(atMs: number): readonly ServingEndpoint[] {
    const {service, route} = this.request.admission;
    const {directory, versions} = this.context.state;
    const serving = directory.findServing(service, atMs);
    const {origin} = this;
    if (origin !== undefined) {
      return serving.filter(each => mayContinue(each, origin));
    }
    if (!route.isResumable) return serving;
    return serving.filter(each => versions.mayBegin(each));
  }

  /** Undefined for what is never moved to another engine. */
  private followStream(
    endpoint: ServingEndpoint,
    movedRun: MovedRun | undefined,
  ): FollowedStream | undefined {
    // It was brought back to an engine that leaves since others had no room.
    if (movedRun?.isAtSource) return undefined;
    const {admission, caller, endsAtMs} = this.request;
    const {route, urgencyRank} = admission;
    return this.context.mover.follow({
      requestId: caller.requestId,
      prompt: caller.prompt,
      route,
      urgencyRank,
      endsAtMs,
      endpoint,
      writer: this.writer,
      close: () => this.current?.cancel(),
    });
  }

  private createAttempt(
    placed: Placed,
    {observation, followed, movedRun}: AttemptParts,
  ): Attempt {
    const {context, request, writer} = this;
    return new Attempt({
      context,
      request,
      writer,
      placed,
      trial: request.trial,
      planTakeover: hasArrived => this.planTakeover(hasArrived),
      isLast: () => this.listUntried().length === 0,
      onBegun: () => this.noteBegun(),
      isContinuation: this.origin !== undefined && movedRun === undefined,
      movedRun,
      mayBeStopped: async () => (await followed?.mayBeStopped()) ?? false,
      onEvent: () => {
        observation.noteEvent(context.nowMs());
        followed?.noteEvent(context.nowMs());
        this.noteEvent(placed.endpoint);
      },
    });
  }

  /** @param counts of attempts, that of the failure included. */
  private decide(
    failure: Pick<FailedResult, 'verdict' | 'reason' | 'hasArrived'>,
    counts: Pick<AttemptHistory, 'runs' | 'offers' | 'unreached'>,
  ): AttemptDecision {
    return decideAfterFailure({
      ...counts,
      route: this.request.admission.route,
      verdict: failure.verdict,
      deliveredEvents: this.writer.events,
      leftMs: this.request.endsAtMs - this.context.nowMs(),
      untried: this.listUntried().length,
      isIsolated: failure.reason === 'isolated',
      hasArrived: failure.hasArrived,
    });
  }

  /**
   * Plans the attempt that replaces the current one, whose endpoint is silent. A
   * sound endpoint goes on after a pause: nothing is given up before another one
   * is chosen and the retry is taken from the budget.
   */
  private planTakeover(hasArrived: boolean): boolean {
    const {route, service} = this.request.admission;
    const {state, nowMs} = this.context;
    const {runs, offers, unreached} = this.history;
    if (!mayRunAgain(route) || runs + 1 >= route.maxAttempts) return false;
    const verdict = hasArrived ? 'may_have_run' : 'not_run';
    const silent = {verdict, reason: 'silent', hasArrived} as const;
    const decision = this.decide(silent, {
      runs: hasArrived ? runs + 1 : runs,
      offers: hasArrived ? offers + 1 : offers,
      unreached: hasArrived ? unreached : unreached + 1,
    });
    if (decision.kind === 'give_up') return false;
    const budget = state.budgetFor(service);
    if (!budget.hasRoom(nowMs())) return false;
    // After a failed connection the placement avoids its data centre.
    if (!decision.needsBudget) return true;
    const placed = this.choose();
    if (placed === undefined) return false;
    this.takeover = placed;
    return budget.tryTake(nowMs());
  }

  /** Endpoints not tried yet that may be offered a request. */
  private listUntried(): readonly ServingEndpoint[] {
    const {state, nowMs} = this.context;
    const atMs = nowMs();
    return this.findCandidates(atMs).filter(
      each =>
        !this.history.excluded.has(each.id) && mayOffer(each, atMs, state),
    );
  }

  /** The stream belongs to the version of its first event's endpoint. */
  private noteEvent({service, softwareVersion}: ServingEndpoint): void {
    if (this.origin !== undefined) return;
    this.origin = {service, softwareVersion};
    const {admission, caller} = this.request;
    if (!admission.route.isResumable) return;
    const {clientAccount} = admission;
    const {streams} = this.context;
    streams.noteBegun(clientAccount, caller.requestId, this.origin);
  }

  private noteBegun(): void {
    if (this.hasBegunRun) return;
    this.hasBegunRun = true;
    this.context.onBegun(this.request.admission, this.context.nowMs());
  }

  /** Records the result of an attempt. */
  private settle(outcome: AttemptOutcome): void {
    const {endpoint, result} = outcome;
    recordOutcome(this.context, this.request, outcome);
    if (result.kind === 'answered') {
      this.verdict = 'ran';
      return;
    }
    this.verdict = worseVerdict(this.verdict, result.verdict);
    if (result.reason === 'isolated') {
      const {state, nowMs} = this.context;
      this.minRetryAfterMs = state.isolation.probeLeftMs(nowMs());
    }
    const hasTimedOut = result.reason === 'connect_timeout';
    const wasWithheld = result.reason === 'withheld';
    const hasPathBroken = result.reason === 'path_broken';
    this.history.fail(endpoint, {
      ...result,
      hasTimedOut,
      wasWithheld,
      hasPathBroken,
    });
  }

  /**
   * Sends the final answer when no endpoint gives one: the latest error answer
   * of an endpoint unless the request's time is over or a stream has begun, else
   * a status of this system's own.
   */
  private fail(): void {
    if (this.writer.isOver) return;
    const {state, protocol, nowMs} = this.context;
    const {service} = this.request.admission;
    const mayPassOn = !this.hasExpired && !this.writer.hasBegun;
    if (this.lastFailure !== undefined && mayPassOn) {
      this.writer.sendWhole(this.lastFailure);
      return;
    }
    const verdict = worseVerdict(
      this.verdict,
      this.current?.verdict ?? 'not_run',
    );
    this.verdict = verdict;
    const retryAfterMs =
      this.shedRetryAfterMs ??
      Math.max(
        this.minRetryAfterMs,
        state.backoffLeftMs(service, nowMs()),
        state.refusalDelayFor(service).adviseMs(nowMs()),
      );
    const failure = failureFor(verdict, {
      timedOut: this.hasExpired,
      retryAfterMs,
    });
    const headers =
      failure.retryAfterMs === undefined
        ? {}
        : protocol.composeRetryAfter(failure.retryAfterMs);
    this.writer.fail(failure.status, headers);
  }
}

/**
 * A stream that ended after a call to stop it shows no failure of its endpoint,
 * even if the answer to that call is lost.
 */
function excuse(result: AttemptResult): AttemptResult {
  if (result.kind === 'answered') return result;
  const {connectionBroke = false, reason} = result;
  return {
    ...result,
    endpointOutcome: undefined,
    connectionBroke: false,
    reason: connectionBroke ? 'move_lost' : reason,
  };
}
