/** The owner of a cell: decides what runs next on its endpoints. */

import type {CellId, InstanceId} from '@snipestage/types/ids.js';
import type {CellPermitRequest} from '@snipestage/types/permits.js';
import {CellDispatch} from './cell_dispatch.js';
import type {EndpointSnapshot} from './cell_endpoints.js';
import type {CellInput, CellOutput} from './cell_messages.js';
import {CellRefusals} from './cell_refusals.js';
import {CellState, type CellCounters} from './cell_state.js';
import type {ClassQueueSnapshot, WaitingRequest} from './dispatch_queue.js';
import type {HeldPermit} from './permit_book.js';
import {PermitReports} from './permit_reports.js';
import {
  createPolicySet,
  type PolicyName,
  type PolicySet,
} from './policy_set.js';
import type {RandomSource} from './random_source.js';

const DEFAULT_MAX_WAITING = 2000;
const DEFAULT_GRACE_MS = 1500;
const REVIEW_EVERY_MS = 250;

/** Options of {@link CellOwner}. */
export interface CellOwnerOptions {
  readonly cell: CellId;
  readonly random: RandomSource;
  /** When the owner took over the cell. */
  readonly startedAtMs: number;
  /** Dispatch order, endpoint choice and limits; `tiered` by default. */
  readonly policy?: PolicySet;
  readonly maxWaiting?: number;
  /** Longest wait for instances to report what they hold; 0 disables it. */
  readonly graceMs?: number;
  /** Whether instances get allotments while nothing waits. */
  readonly standingAllotments?: boolean;
}

/** State and counters of an owner, for the state dump. */
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

/**
 * Takes messages and the time, and returns decisions; it does no I/O and sets
 * no timer. Call {@link tick} every few tens of milliseconds.
 *
 * @example
 * const owner = new CellOwner({cell, random: Math.random, startedAtMs: nowMs});
 * owner.receive({kind: 'endpoints', endpoints}, nowMs);
 * const outputs = owner.receive({kind: 'ask', ask}, nowMs);
 */
export class CellOwner {
  private readonly options: Required<CellOwnerOptions>;
  private readonly state: CellState;
  private readonly dispatch: CellDispatch;
  private readonly refusals: CellRefusals;
  private readonly reports: PermitReports;
  private readonly reportedInstances = new Set<InstanceId>();
  private holdingBack: boolean;
  private reviewedAtMs = -Infinity;
  private arrivals = 0;

  constructor(options: CellOwnerOptions) {
    this.options = {
      ...options,
      policy: options.policy ?? createPolicySet('tiered'),
      maxWaiting: options.maxWaiting ?? DEFAULT_MAX_WAITING,
      graceMs: options.graceMs ?? DEFAULT_GRACE_MS,
      standingAllotments: options.standingAllotments ?? true,
    };
    const {maxWaiting, graceMs} = this.options;
    this.holdingBack = graceMs > 0;
    this.state = new CellState(this.options);
    this.dispatch = new CellDispatch(this.state);
    this.refusals = new CellRefusals({state: this.state, maxWaiting});
    this.reports = new PermitReports(this.state);
  }

  /**
   * Handles one message.
   *
   * @example
   * owner.receive({kind: 'instance_joined', instance}, nowMs);
   */
  receive(input: CellInput, nowMs: number): CellOutput[] {
    this.updateMeter(nowMs);
    this.handle(input, nowMs);
    this.dispatchAll(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Advances the time: refuses requests that have waited too long and divides
   * permits.
   *
   * @example
   * setInterval(() => send(owner.tick(performance.now())), 50);
   */
  tick(nowMs: number): CellOutput[] {
    this.updateMeter(nowMs);
    this.endHoldingBack(nowMs);
    this.refusals.refuseLate(nowMs);
    this.dispatchAll(nowMs);
    if (nowMs - this.reviewedAtMs >= REVIEW_EVERY_MS) {
      this.reviewedAtMs = nowMs;
      this.state.endpoints.review(nowMs);
    }
    if (this.options.standingAllotments && !this.holdingBack) {
      this.state.send(...this.state.allotments.tick(nowMs));
    }
    return this.state.takeOutputs();
  }

  /** Plain data for the state dump. */
  snapshot(nowMs: number): CellSnapshot {
    const {policy, endpoints, book, allotments, meter, counters} = this.state;
    return {
      cell: this.options.cell,
      policy: policy.name,
      holdingBack: this.holdingBack,
      waiting: policy.queue.size,
      queue: policy.queue.snapshot(),
      endpoints: endpoints.snapshot(nowMs),
      permits: [...book.all()].map(permit => ({...permit})),
      instances: allotments.instances(),
      drainPerSecond: meter.drainPerSecond,
      counters: {...counters},
    };
  }

  private handle(input: CellInput, nowMs: number): void {
    switch (input.kind) {
      case 'ask':
        return this.ask(input.ask, nowMs);
      case 'withdraw':
        return this.withdraw(input);
      case 'release':
        return this.reports.release(input.release, nowMs);
      case 'progress':
        return this.reports.progress(input.progress, nowMs);
      case 'in_use':
        this.reportedInstances.add(input.instance);
        this.reports.inUse(input.instance, input.permits, nowMs);
        return this.endHoldingBack(nowMs);
      case 'started':
        return this.reports.started(input.instance, input.permits, nowMs);
      case 'allotment_applied':
        return this.state.book.applied(input.instance, input.sequence);
      case 'instance_joined':
        return this.instanceJoined(input.instance, nowMs);
      case 'instance_gone':
        return this.instanceGone(input.instance);
      case 'endpoints':
        this.state.endpoints.configure(input.endpoints);
        return this.refusals.refuseAllUnservable();
      case 'classes':
        return this.state.configureClasses(input.classes);
      case 'load':
        return this.state.endpoints.reported(input.load);
    }
  }

  /** Requests are repeated after a change of owner or a lost frame. */
  private ask(ask: CellPermitRequest, nowMs: number): void {
    const {book, policy, allotments, meter} = this.state;
    const held = book.get(ask.attempt);
    if (held !== undefined) return this.state.sendGrant(held);
    if (policy.queue.has(ask.attempt)) {
      // The instance repeats its request because it has received nothing for a
      // while; without an answer it would take this owner for dead.
      return this.state.send(...allotments.repeat(ask.instance, nowMs));
    }
    meter.arrived(ask.tier);
    const request = this.toWaiting(ask, nowMs);
    if (this.refusals.refuseUnservable(request)) return;
    const waitMs = policy.queue.expectedWaitMs(request, meter);
    policy.queue.add(request);
    this.dispatchAll(nowMs);
    if (!policy.queue.has(ask.attempt)) return;
    if (this.refusals.refuseUnreachable(request, waitMs, nowMs)) return;
    this.refusals.shed(request);
  }

  private toWaiting(ask: CellPermitRequest, nowMs: number): WaitingRequest {
    return {
      ask,
      instance: ask.instance,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + ask.remainingMs,
      arrival: this.arrivals++,
    };
  }

  private withdraw({attempt}: Extract<CellInput, {kind: 'withdraw'}>): void {
    const request = this.state.removeWaiting(attempt);
    if (request !== undefined) this.state.counters.withdrawn++;
  }

  /**
   * During its grace period a new owner sends a message to each instance that
   * joins, so that an instance that has not noticed the change, or has had no
   * request for the cell yet, reports what it holds.
   */
  private instanceJoined(instance: InstanceId, nowMs: number): void {
    const {allotments} = this.state;
    allotments.join(instance);
    if (!this.holdingBack) return;
    this.state.send(...allotments.repeat(instance, nowMs));
  }

  private instanceGone(instance: InstanceId): void {
    const {allotments, book, policy} = this.state;
    allotments.leave(instance);
    this.reportedInstances.delete(instance);
    for (const {attempt} of book.heldBy(instance)) this.state.free(attempt);
    book.forgetInstance(instance);
    for (const request of policy.queue.all()) {
      if (request.instance !== instance) continue;
      this.state.removeWaiting(request.ask.attempt);
      this.state.counters.withdrawn++;
    }
  }

  /**
   * A new owner does not know what runs. If it granted permits at once,
   * endpoints that were full under its predecessor would run at twice their
   * limit. It therefore waits until all live instances have reported what they
   * hold, or until the grace period has passed.
   */
  private endHoldingBack(nowMs: number): void {
    if (!this.holdingBack) return;
    const instances = this.state.allotments.instances();
    const allReported =
      instances.length > 0 &&
      instances.every(instance => this.reportedInstances.has(instance));
    const heldMs = nowMs - this.options.startedAtMs;
    if (!allReported && heldMs < this.options.graceMs) return;
    this.holdingBack = false;
    this.state.endpoints.takeOver();
  }

  private dispatchAll(nowMs: number): void {
    if (this.holdingBack) return;
    this.dispatch.run(nowMs);
    const {policy, allotments} = this.state;
    if (policy.queue.size > 0 && this.options.standingAllotments) {
      this.state.send(...allotments.close(nowMs));
    }
  }

  private updateMeter(nowMs: number): void {
    const permits = this.state.endpoints.totalPermits(nowMs);
    this.state.meter.update(nowMs, permits);
  }
}
