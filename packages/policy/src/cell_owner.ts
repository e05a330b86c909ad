/** The owner of a cell: decides what runs next on its endpoints. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {
  AttemptId,
  CellId,
  EndpointId,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {
  PermitAsk,
  PermitInUse,
  PermitRefusal,
  PermitRelease,
} from '@snipestage/types/permits.js';
import {CellEndpoints, type EndpointSnapshot} from './cell_endpoints.js';
import type {AttemptProgress, CellInput, CellOutput} from './cell_messages.js';
import {CellMeter} from './cell_meter.js';
import type {ClassQueueSnapshot, WaitingRequest} from './dispatch_queue.js';
import type {EndpointView} from './endpoint_choice.js';
import type {LatencyTargets} from './limit_policy.js';
import {PermitBook, type HeldPermit} from './permit_book.js';
import {
  createPolicySet,
  type PolicyName,
  type PolicySet,
} from './policy_set.js';
import type {RandomSource} from './random_source.js';
import {StandingAllotments} from './standing_allotments.js';
import {chargeExpected, chargeProgress, settleCharge} from './token_costs.js';

const DEFAULT_MAX_WAITING = 2000;
const DEFAULT_GRACE_MS = 1500;
const DEFAULT_COMPARE_EVERY_MS = 500;
const REGRANT_AFTER_MS = 1000;
const UNKNOWN_WAIT_MS = 1000;

/** What a {@link CellOwner} is made from. */
export interface CellOwnerOptions {
  readonly cell: CellId;
  readonly random: RandomSource;
  /** When it took the cell over. */
  readonly startedAtMs: number;
  /** Dispatch order, endpoint choice and limits; the tiered ones if absent. */
  readonly policy?: PolicySet;
  readonly maxWaiting?: number;
  /** How long it waits for instances to tell what they hold; 0 for not at all. */
  readonly graceMs?: number;
  /** Whether instances may start without asking while nothing waits. */
  readonly standingAllotments?: boolean;
}

/** What the owner has decided and counted, for the state dump. */
export interface CellSnapshot {
  readonly cell: CellId;
  readonly policy: PolicyName;
  readonly holdingBack: boolean;
  readonly waiting: number;
  readonly queue: readonly ClassQueueSnapshot[];
  readonly endpoints: readonly EndpointSnapshot[];
  readonly permits: readonly HeldPermit[];
  readonly instances: readonly InstanceId[];
  readonly drainPerSecond: number;
  readonly counters: Readonly<CellCounters>;
}

/** Counts since the owner started. */
export interface CellCounters {
  granted: number;
  startedUnasked: number;
  released: number;
  refusedOverloaded: number;
  refusedDeadline: number;
  refusedNoEndpoint: number;
  withdrawn: number;
}

/**
 * Takes messages and the time, and returns decisions; it does no I/O and sets no
 * timer. Call {@link tick} every few tens of milliseconds.
 *
 * @example
 * const owner = new CellOwner({cell, random: Math.random, startedAtMs: nowMs});
 * owner.receive({kind: 'endpoints', endpoints}, nowMs);
 * const outputs = owner.receive({kind: 'ask', ask}, nowMs);
 */
export class CellOwner {
  private readonly options: Required<CellOwnerOptions>;
  private readonly policy: PolicySet;
  private readonly book = new PermitBook();
  private readonly meter = new CellMeter();
  private readonly endpoints: CellEndpoints;
  private readonly allotments: StandingAllotments;
  private readonly targets = new Map<string, LatencyTargets>();
  private readonly heardFrom = new Set<InstanceId>();
  private readonly counters: CellCounters = {
    granted: 0,
    startedUnasked: 0,
    released: 0,
    refusedOverloaded: 0,
    refusedDeadline: 0,
    refusedNoEndpoint: 0,
    withdrawn: 0,
  };
  private holdingBack: boolean;
  private comparedAtMs = -Infinity;
  private arrivals = 0;
  private outputs: CellOutput[] = [];

  constructor(options: CellOwnerOptions) {
    this.options = {
      policy: createPolicySet('tiered'),
      maxWaiting: DEFAULT_MAX_WAITING,
      graceMs: DEFAULT_GRACE_MS,
      standingAllotments: true,
      ...options,
    };
    this.policy = this.options.policy;
    this.holdingBack = this.options.graceMs > 0;
    this.endpoints = new CellEndpoints(this.policy, this.book);
    this.allotments = new StandingAllotments({
      cell: options.cell,
      book: this.book,
      endpoints: this.endpoints,
    });
  }

  /**
   * Takes one message in.
   *
   * @example
   * owner.receive({kind: 'instance_joined', instance}, nowMs);
   */
  receive(input: CellInput, nowMs: number): CellOutput[] {
    this.meter.update(nowMs, this.endpoints.totalPermits(nowMs));
    this.handle(input, nowMs);
    this.dispatchAll(nowMs);
    return this.takeOutputs();
  }

  /**
   * Lets time pass: refuses what has waited too long and divides permits.
   *
   * @example
   * setInterval(() => send(owner.tick(performance.now())), 50);
   */
  tick(nowMs: number): CellOutput[] {
    this.meter.update(nowMs, this.endpoints.totalPermits(nowMs));
    this.endHoldingBack(nowMs);
    this.refuseLate(nowMs);
    this.dispatchAll(nowMs);
    if (nowMs - this.comparedAtMs >= DEFAULT_COMPARE_EVERY_MS) {
      this.comparedAtMs = nowMs;
      this.endpoints.compare(nowMs);
    }
    if (this.options.standingAllotments && !this.holdingBack) {
      this.outputs.push(...this.allotments.tick(nowMs));
    }
    return this.takeOutputs();
  }

  /** Plain data for the state dump. */
  snapshot(nowMs: number): CellSnapshot {
    return {
      cell: this.options.cell,
      policy: this.policy.name,
      holdingBack: this.holdingBack,
      waiting: this.policy.queue.size,
      queue: this.policy.queue.snapshot(),
      endpoints: this.endpoints.snapshot(nowMs),
      permits: [...this.book.all()].map(permit => ({...permit})),
      instances: this.allotments.instances(),
      drainPerSecond: this.meter.drainPerSecond,
      counters: {...this.counters},
    };
  }

  private handle(input: CellInput, nowMs: number): void {
    switch (input.kind) {
      case 'ask':
        return this.ask(input.ask, nowMs);
      case 'withdraw':
        return this.withdraw(input.attempt);
      case 'release':
        return this.release(input.release, nowMs);
      case 'progress':
        return this.progress(input.progress, nowMs);
      case 'in_use':
        return this.inUse(input.instance, input.permits, nowMs);
      case 'started':
        return this.started(input.instance, input.permits, nowMs);
      case 'allotment_applied':
        return this.book.applied(input.instance, input.sequence);
      case 'instance_joined':
        return this.allotments.join(input.instance);
      case 'instance_gone':
        return this.instanceGone(input.instance);
      case 'endpoints':
        this.endpoints.configure(input.endpoints);
        return this.refuseUnservable(nowMs);
      case 'classes':
        return this.configureClasses(input.classes);
      case 'load':
        return this.endpoints.reported(input.load);
    }
  }

  /** Asks come again after a change of owner or a lost frame. */
  private ask(ask: PermitAsk, nowMs: number): void {
    const held = this.book.get(ask.attempt);
    if (held !== undefined) return this.sendGrant(held);
    if (this.policy.queue.has(ask.attempt)) {
      // The instance asks again because it has heard nothing for a while, and
      // would take a silent owner for a dead one.
      this.outputs.push(...this.allotments.repeat(ask.instance, nowMs));
      return;
    }
    this.meter.arrived(ask.tier);
    const request = this.toWaiting(ask, nowMs);
    if (this.endpoints.known && !this.endpoints.canEverRun(ask)) {
      return this.refuse(request, 'no_endpoint', UNKNOWN_WAIT_MS);
    }
    const waitMs = this.policy.queue.expectedWaitMs(request, this.meter);
    this.policy.queue.add(request);
    this.dispatchAll(nowMs);
    if (!this.policy.queue.has(ask.attempt)) return;
    if (!this.refuseUnreachable(request, waitMs, nowMs)) this.shed(request);
  }

  private toWaiting(ask: PermitAsk, nowMs: number): WaitingRequest {
    return {
      ask,
      instance: ask.instance,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + ask.remainingMs,
      arrival: this.arrivals++,
    };
  }

  /** Refuses at once what can't make its deadline; true if it was refused. */
  private refuseUnreachable(
    request: WaitingRequest,
    waitMs: number,
    nowMs: number,
  ): boolean {
    const {deadlineAtMs, ask} = request;
    const usableAtMs = this.endpoints.usableAtMs(ask, nowMs);
    if (usableAtMs > deadlineAtMs) {
      this.removeWaiting(ask.attempt);
      this.refuse(request, 'no_endpoint', usableAtMs - nowMs);
      return true;
    }
    const firstTokenAtMs = nowMs + waitMs + this.meter.typicalFirstTokenMs;
    if (firstTokenAtMs <= deadlineAtMs) return false;
    this.removeWaiting(ask.attempt);
    this.refuse(request, 'deadline_unreachable', firstTokenAtMs - deadlineAtMs);
    return true;
  }

  /** Keeps the queue within its limit: lowest tier first. */
  private shed(incoming: WaitingRequest): void {
    const {queue} = this.policy;
    if (queue.countAgainstLimit() <= this.options.maxWaiting) return;
    const victim = queue.chooseVictim(incoming);
    const waitMs = queue.expectedWaitMs(victim, this.meter);
    this.removeWaiting(victim.ask.attempt);
    this.refuse(victim, 'overloaded', waitMs);
  }

  private refuseLate(nowMs: number): void {
    const {queue} = this.policy;
    const late = [...queue.inDispatchOrder()].filter(
      ({deadlineAtMs}) => deadlineAtMs <= nowMs,
    );
    for (const request of late) {
      const waitMs = queue.expectedWaitMs(request, this.meter);
      this.removeWaiting(request.ask.attempt);
      this.refuse(request, 'deadline_unreachable', waitMs);
    }
  }

  private refuseUnservable(nowMs: number): void {
    const {queue} = this.policy;
    for (const request of [...queue.inDispatchOrder()]) {
      if (this.endpoints.canEverRun(request.ask)) continue;
      const usableAtMs = this.endpoints.usableAtMs(request.ask, nowMs);
      const waitMs = Number.isFinite(usableAtMs)
        ? usableAtMs - nowMs
        : UNKNOWN_WAIT_MS;
      this.removeWaiting(request.ask.attempt);
      this.refuse(request, 'no_endpoint', waitMs);
    }
  }

  private refuse(
    {ask, instance}: WaitingRequest,
    reason: PermitRefusal['reason'],
    waitMs: number,
  ): void {
    if (reason === 'overloaded') this.counters.refusedOverloaded++;
    if (reason === 'deadline_unreachable') this.counters.refusedDeadline++;
    if (reason === 'no_endpoint') this.counters.refusedNoEndpoint++;
    const retryAfterMs = this.meter.retryAfterMs(waitMs, this.options.random());
    const refusal = {attempt: ask.attempt, reason, retryAfterMs};
    this.outputs.push({kind: 'refuse', instance, refusal});
  }

  private withdraw(attempt: AttemptId): void {
    if (this.removeWaiting(attempt) !== undefined) this.counters.withdrawn++;
  }

  private removeWaiting(attempt: AttemptId): WaitingRequest | undefined {
    const request = this.policy.queue.remove(attempt);
    if (request?.ask.suspect) this.endpoints.releaseSuspect(attempt);
    return request;
  }

  /** A second release of one attempt finds nothing and changes nothing. */
  private release(release: PermitRelease, nowMs: number): void {
    const permit = this.book.free(release.attempt);
    if (permit === undefined) return;
    this.counters.released++;
    this.endpoints.releaseSuspect(release.attempt);
    const {promptTokens, outputTokens, outcome} = release;
    settleCharge(this.policy.queue, permit, promptTokens, outputTokens);
    if (outcome === 'ok') {
      this.meter.released(nowMs - permit.sinceMs, release.firstTokenMs);
    }
    const sample = {
      outcome,
      outputTokens,
      firstTokenMs: release.firstTokenMs,
      betweenTokensMs: release.betweenTokensMs,
      targets: this.targets.get(permit.requestClass),
    };
    this.endpoints.limitOf(permit.endpoint)?.finished(sample, nowMs);
  }

  private progress(all: readonly AttemptProgress[], nowMs: number): void {
    for (const {attempt, outputTokens} of all) {
      const permit = this.book.get(attempt);
      if (permit === undefined) continue;
      permit.confirmed = true;
      const tokens = outputTokens - permit.outputTokens;
      if (tokens <= 0) continue;
      const perTokenMs = (nowMs - permit.progressAtMs) / tokens;
      const first = permit.outputTokens === 0;
      permit.outputTokens = outputTokens;
      permit.progressAtMs = nowMs;
      chargeProgress(this.policy.queue, permit);
      const targets = this.targets.get(permit.requestClass);
      const limit = this.endpoints.limitOf(permit.endpoint);
      if (!first) limit?.progressed(perTokenMs, targets, nowMs);
    }
  }

  /** The whole list of what an instance holds. */
  private inUse(
    instance: InstanceId,
    permits: readonly PermitInUse[],
    nowMs: number,
  ): void {
    this.heardFrom.add(instance);
    const listed = new Set(permits.map(({attempt}) => attempt));
    for (const permit of permits) this.holdTold(instance, permit, nowMs);
    for (const permit of this.book.heldBy(instance)) {
      if (!listed.has(permit.attempt)) this.missing(permit, nowMs);
    }
    this.outputs.push(...this.allotments.repeat(instance, nowMs));
    this.endHoldingBack(nowMs);
  }

  /**
   * The instance does not list a permit that it should hold. Either its release
   * was lost, then the permit would never come free; or the grant is still under
   * way or was lost, then it is sent again and the instance, if it has no use
   * for it any more, gives it back.
   */
  private missing(permit: HeldPermit, nowMs: number): void {
    if (permit.underAllotment || permit.confirmed) {
      this.book.free(permit.attempt);
      this.endpoints.releaseSuspect(permit.attempt);
      return;
    }
    if (nowMs - permit.sinceMs >= REGRANT_AFTER_MS) this.sendGrant(permit);
  }

  private started(
    instance: InstanceId,
    permits: readonly PermitInUse[],
    nowMs: number,
  ): void {
    for (const permit of permits) this.holdTold(instance, permit, nowMs);
    this.counters.startedUnasked += permits.length;
  }

  /** Counts a permit that the instance says it holds. */
  private holdTold(
    instance: InstanceId,
    told: PermitInUse,
    nowMs: number,
  ): void {
    this.removeWaiting(told.attempt);
    const known = this.book.get(told.attempt);
    if (known !== undefined && known.endpoint === told.endpoint) {
      known.confirmed = true;
      known.underAllotment = told.underAllotment ?? false;
      return;
    }
    const permit: HeldPermit = {
      attempt: told.attempt,
      instance,
      endpoint: told.endpoint,
      clientAccount: told.clientAccount,
      requestClass: told.requestClass,
      tier: told.tier,
      suspect: told.suspect ?? false,
      underAllotment: told.underAllotment ?? false,
      sinceMs: nowMs,
      confirmed: true,
      chargedTokens: 0,
      outputTokens: told.outputTokens,
      progressAtMs: nowMs,
    };
    this.hold(permit, nowMs);
    chargeProgress(this.policy.queue, permit);
  }

  private hold(permit: HeldPermit, nowMs: number): void {
    const {attempt, endpoint, suspect} = permit;
    this.book.hold(permit);
    if (suspect) this.endpoints.occupy(endpoint, attempt);
    const inFlight = this.book.heldAt(endpoint).length;
    this.endpoints.limitOf(endpoint)?.started(inFlight, nowMs);
  }

  private instanceGone(instance: InstanceId): void {
    this.allotments.leave(instance);
    this.heardFrom.delete(instance);
    for (const {attempt} of this.book.dropInstance(instance)) {
      this.endpoints.releaseSuspect(attempt);
    }
    for (const request of [...this.policy.queue.inDispatchOrder()]) {
      if (request.instance === instance) this.withdraw(request.ask.attempt);
    }
  }

  private configureClasses(classes: readonly RequestClass[]): void {
    this.policy.queue.configure(classes);
    this.targets.clear();
    for (const requestClass of classes) {
      this.targets.set(requestClass.id, requestClass);
    }
  }

  /**
   * A new owner does not know what runs. Were it to grant at once, endpoints
   * full under its predecessor would run at twice their limit; so it waits until
   * all live instances have told what they hold, or long enough.
   */
  private endHoldingBack(nowMs: number): void {
    if (!this.holdingBack) return;
    const instances = this.allotments.instances();
    const allHeard =
      instances.length > 0 &&
      instances.every(instance => this.heardFrom.has(instance));
    const heldMs = nowMs - this.options.startedAtMs;
    if (allHeard || heldMs >= this.options.graceMs) this.holdingBack = false;
  }

  private dispatchAll(nowMs: number): void {
    if (this.holdingBack) return;
    while (this.policy.queue.size > 0 && this.dispatchOne(nowMs));
    if (this.policy.queue.size > 0 && this.options.standingAllotments) {
      this.outputs.push(...this.allotments.close(nowMs));
    }
  }

  /** Grants the first waiting request that any endpoint can take now. */
  private dispatchOne(nowMs: number): boolean {
    const views = this.endpoints.freeViews(nowMs);
    const unplaceable = new Set<string>();
    for (const request of this.policy.queue.inDispatchOrder()) {
      const needs = needsOf(request.ask);
      if (unplaceable.has(needs)) continue;
      const endpoint = this.place(request.ask, views, nowMs);
      if (endpoint !== undefined) {
        this.grant(request, endpoint, nowMs);
        return true;
      }
      if (views.length === 0 && !request.ask.suspect) return false;
      unplaceable.add(needs);
    }
    return false;
  }

  private place(
    ask: PermitAsk,
    views: readonly EndpointView[],
    nowMs: number,
  ): EndpointId | undefined {
    if (ask.suspect) return this.endpoints.claimForSuspect(ask, nowMs);
    const candidates = this.endpoints.eligible(ask, views);
    if (candidates.length === 0) return undefined;
    return this.policy.choice.choose(ask, candidates, this.options.random).id;
  }

  private grant(
    {ask, instance}: WaitingRequest,
    endpoint: EndpointId,
    nowMs: number,
  ): void {
    const permit: HeldPermit = {
      attempt: ask.attempt,
      instance,
      endpoint,
      clientAccount: ask.clientAccount,
      requestClass: ask.requestClass,
      tier: ask.tier,
      suspect: ask.suspect,
      underAllotment: false,
      sinceMs: nowMs,
      confirmed: false,
      chargedTokens: 0,
      outputTokens: 0,
      progressAtMs: nowMs,
    };
    chargeExpected(this.policy.queue, permit, ask.expectedTokens);
    this.policy.queue.dispatch(ask.attempt);
    this.hold(permit, nowMs);
    this.counters.granted++;
    this.sendGrant(permit);
  }

  private sendGrant({instance, attempt, endpoint}: HeldPermit): void {
    this.outputs.push({kind: 'grant', instance, grant: {attempt, endpoint}});
  }

  private takeOutputs(): CellOutput[] {
    const outputs = this.outputs;
    this.outputs = [];
    return outputs;
  }
}

/** Requests of equal needs can be placed alike. */
function needsOf(ask: PermitAsk): string {
  if (ask.suspect) return 'suspect';
  return `${ask.cheapAllowed} ${ask.excluded.join(' ')}`;
}
