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
import type {TakeoverStep} from '@snipestage/routing/takeover.js';
import {
  brandAs,
  type EndpointId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {worseVerdict, type Verdict} from '@snipestage/types/verdict.js';
import type {AnswerWriter, WholeAnswer} from './answer_writer.js';
import {AttemptRecord} from './attempt_record.js';
import type {MovedRun} from './migration/moved_run.js';
import type {StreamRun} from './streams/stream_rows.js';
import type {
  ExchangeContext,
  FailedResult,
  ReadRequest,
} from './exchange_context.js';
import {
  TakeoverAttempts,
  type AttemptHooks,
  type EndedAttempt,
  type UnreachedPlan,
} from './takeover_attempts.js';
import {TrackedAttempt} from './tracked_attempt.js';

/**
 * Decides what follows the attempts of one request. While an endpoint is
 * silent, a hedged attempt at another one may take the request over.
 */
export class Exchange {
  private readonly history = new AttemptHistory();
  private verdict: Verdict = 'not_run';
  private readonly attempts: TakeoverAttempts;
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
  /** Steps of hedged attempts. */
  private readonly takeoverSteps: TakeoverStep[] = [];
  private servedBy: EndpointId | undefined;
  /** How often its run was stopped to go on elsewhere. */
  private moves = 0;
  private readonly record = new AttemptRecord();

  constructor(
    private readonly context: ExchangeContext,
    private readonly request: ReadRequest,
    private readonly writer: AnswerWriter,
  ) {
    this.origin = request.origin;
    this.attempts = new TakeoverAttempts({
      create: (placed, movedRun, hooks) =>
        this.createAttempt(placed, movedRun, hooks),
      planHedge: () => this.planHedge(),
      planUnreached: () => this.planUnreached(),
      isOver: () => this.writer.isOver,
      onWithdrawn: attempt => this.history.withdraw(attempt.verdict),
      onEnd: ended => this.settle(ended),
      onStep: step => this.noteTakeover(step),
    });
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
    this.attempts.cancel();
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
    this.attempts.cancel();
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
      takeover: this.takeoverSteps.join() || undefined,
      endpoint: this.servedBy ?? [...this.history.tried].at(-1),
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
      const placed = this.choose();
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
      const result = await this.attempts.run(placed);
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
      const result = await this.attempts.run({endpoint: run.endpoint}, run);
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
    const candidates = this.findAllowed(this.context.nowMs());
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

  private mayRetry(result: FailedResult): boolean {
    const {state, nowMs} = this.context;
    const {service} = this.request.admission;
    this.lastReason = result.reason;
    const {runs, offers, unreached} = this.history;
    const decision = this.decide(result, {runs, offers, unreached});
    if (decision.kind === 'give_up') return false;
    if (!decision.needsBudget) return true;
    if (state.budgetFor(service).tryTake(nowMs())) return true;
    this.isRetryBudgetSpent = true;
    this.context.metrics.countUnaffordableRetry(service);
    return false;
  }

  private createAttempt(
    placed: Placed,
    movedRun: MovedRun | undefined,
    hooks: AttemptHooks,
  ): TrackedAttempt {
    const {context, request, writer, history, record} = this;
    return new TrackedAttempt({
      ...hooks,
      context,
      request,
      writer,
      history,
      record,
      placed,
      movedRun,
      isContinuation: this.origin !== undefined && movedRun === undefined,
      isLast: () => this.listUntried().length === 0,
      onBegun: () => this.noteBegun(),
      onEvent: endpoint => this.noteEvent(endpoint),
    });
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

  /** Candidates at which the request may still run, by the route's limit. */
  private findAllowed(atMs: number): readonly ServingEndpoint[] {
    const {maxAttempts} = this.request.admission.route;
    const inProgress = this.attempts.runs;
    return this.history.mayRunAgain({maxAttempts, inProgress})
      ? this.findCandidates(atMs)
      : [];
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
   * Chooses an endpoint for a hedged attempt while the current one is silent, and takes its
   * retry from the budget. Requests on trial reach one endpoint at a time.
   */
  private planHedge(): Placed | undefined {
    const {admission, trial} = this.request;
    const {route, service} = admission;
    const {state, nowMs} = this.context;
    if (!mayRunAgain(route) || trial.length > 0) return undefined;
    const silent = {verdict: 'may_have_run', hasArrived: true} as const;
    const {runs, offers, unreached} = this.history;
    const decision = this.decide(
      {...silent, reason: 'silent'},
      {runs: runs + 1, offers: offers + 1, unreached},
    );
    const budget = state.budgetFor(service);
    if (decision.kind === 'give_up' || !budget.hasRoom(nowMs()))
      return undefined;
    const placed = this.chooseAmong(this.findAskable());
    if (placed === undefined || !budget.tryTake(nowMs())) return undefined;
    return placed;
  }

  /**
   * Until its first event, a stream may begin at the current endpoint: it is
   * offered only to endpoints of the version that its record names.
   */
  private findAskable(): readonly ServingEndpoint[] {
    const {sentTo, origin} = this;
    const allowed = this.findAllowed(this.context.nowMs());
    if (origin !== undefined || sentTo === undefined) return allowed;
    return allowed.filter(({softwareVersion}) => softwareVersion === sentTo);
  }

  /** Nothing is lost by giving up a connection that isn't established. */
  private planUnreached(): UnreachedPlan {
    const {admission} = this.request;
    const {state, nowMs} = this.context;
    if (!mayRunAgain(admission.route)) return 'wait';
    const {runs, offers, unreached} = this.history;
    const decision = this.decide(
      {verdict: 'not_run', reason: 'silent', hasArrived: false},
      {runs, offers, unreached: unreached + 1},
    );
    const hasRoom = state.budgetFor(admission.service).hasRoom(nowMs());
    return decision.kind === 'retry' && hasRoom ? 'try_next' : 'wait';
  }

  private noteTakeover(step: TakeoverStep): void {
    const {service} = this.request.admission;
    this.context.metrics.countTakeoverStep(service, step);
    this.takeoverSteps.push(step);
  }

  /** Endpoints not tried yet that may be offered a request. */
  private listUntried(): readonly ServingEndpoint[] {
    const {state, nowMs} = this.context;
    const atMs = nowMs();
    return this.findAllowed(atMs).filter(
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

  /** Takes the result of an attempt into account. */
  private settle({attempt, result, wasWithdrawn}: EndedAttempt): void {
    if (result.kind === 'moved') {
      this.verdict = worseVerdict(this.verdict, 'ran');
      this.moves += 1;
      return;
    }
    if (result.kind === 'answered') {
      this.servedBy = attempt.endpoint.id;
      this.verdict = 'ran';
      return;
    }
    this.verdict = worseVerdict(this.verdict, result.verdict);
    this.lastFailure = result.answer ?? this.lastFailure;
    if (wasWithdrawn) return;
    if (result.reason === 'isolated') {
      const {state, nowMs} = this.context;
      this.minRetryAfterMs = state.isolation.probeLeftMs(nowMs());
    }
    const hasTimedOut = result.reason === 'connect_timeout';
    const wasWithheld = result.reason === 'withheld';
    const hasPathBroken = result.reason === 'path_broken';
    this.history.fail(attempt.endpoint, {
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
    const verdict = worseVerdict(this.verdict, this.attempts.verdict);
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
