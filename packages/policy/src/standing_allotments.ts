/** Allots permits that instances may use without requesting them. */

import type {EndpointId, InstanceId} from '@snipestage/types/ids.js';
import {planAllotments, type InstanceUse} from './allotment_plan.js';
import type {CellEndpoints} from './cell_endpoints.js';
import type {CellOutput} from './cell_messages.js';
import type {PermitBook, PermitCounts} from './permit_book.js';
import type {CellId} from '@snipestage/types/ids.js';

/**
 * Share kept back for instances that used up their allotment and request more.
 */
const UNALLOTTED_SHARE = 0.25;
/**
 * A change of fewer permits than this, or by less than {@link MIN_CHANGE_SHARE}
 * of the allotment, is not worth a message, unless it is from or to zero or
 * a reduction at an endpoint that has more permits reserved than its limit.
 */
const MIN_CHANGE_COUNT = 2;
const MIN_CHANGE_SHARE = 0.25;
const DEFAULT_OPEN_AFTER_MS = 500;
const DEFAULT_PLAN_EVERY_MS = 250;
const DEFAULT_RESEND_AFTER_MS = 1000;
/** Weight of the newest count in the mean use of an instance. */
const USE_WEIGHT = 0.1;

/** Options of {@link StandingAllotments}. */
export interface StandingAllotmentsOptions {
  readonly cell: CellId;
  /** Distinguishes this owner's allotments from those of other incarnations. */
  readonly term: number;
  readonly book: PermitBook;
  readonly endpoints: CellEndpoints;
  /** How long no request must have waited before permits are allotted again. */
  readonly openAfterMs?: number;
  readonly planEveryMs?: number;
  readonly resendAfterMs?: number;
}

/**
 * Divides free permits among instances while no request waits. As soon as one
 * waits in the cell, all permits that are not in use are taken back, since an
 * instance that starts requests under an allotment can't know that a request of
 * a higher tier waits at another instance.
 */
export class StandingAllotments {
  private readonly options: Required<StandingAllotmentsOptions>;
  private readonly recentUse = new Map<InstanceId, number>();
  private lastWaitingAtMs = -Infinity;
  private plannedAtMs = -Infinity;

  constructor(options: StandingAllotmentsOptions) {
    this.options = {
      ...options,
      openAfterMs: options.openAfterMs ?? DEFAULT_OPEN_AFTER_MS,
      planEveryMs: options.planEveryMs ?? DEFAULT_PLAN_EVERY_MS,
      resendAfterMs: options.resendAfterMs ?? DEFAULT_RESEND_AFTER_MS,
    };
  }

  join(instance: InstanceId): void {
    if (!this.recentUse.has(instance)) this.recentUse.set(instance, 0);
  }

  leave(instance: InstanceId): void {
    this.recentUse.delete(instance);
  }

  instances(): InstanceId[] {
    return [...this.recentUse.keys()];
  }

  /** Takes back all allotments because a request waits. */
  close(nowMs: number): CellOutput[] {
    this.lastWaitingAtMs = nowMs;
    const outputs: CellOutput[] = [];
    for (const instance of this.instances()) {
      const {permits} = this.options.book.latest(instance) ?? {};
      if (permits === undefined || total(permits) === 0) continue;
      outputs.push(this.send(instance, withZeroCounts(permits), nowMs));
    }
    return outputs;
  }

  tick(nowMs: number): CellOutput[] {
    this.measureUse();
    const outputs = this.resendLost(nowMs);
    const quietMs = nowMs - this.lastWaitingAtMs;
    if (quietMs < this.options.openAfterMs) return outputs;
    if (nowMs - this.plannedAtMs < this.options.planEveryMs) return outputs;
    this.plannedAtMs = nowMs;
    return [...outputs, ...this.replan(nowMs)];
  }

  /** Repeats the allotment in force to an instance that may have missed it. */
  repeat(instance: InstanceId, nowMs: number): CellOutput[] {
    const latest = this.options.book.latest(instance);
    const sequence = latest?.sequence ?? 0;
    const permits = latest?.permits ?? new Map<EndpointId, number>();
    return [this.message(instance, sequence, permits, nowMs)];
  }

  private replan(nowMs: number): CellOutput[] {
    const {book} = this.options;
    const free = this.freePermits(nowMs);
    const plan = planAllotments(this.divisible(nowMs), this.uses());
    const outputs: CellOutput[] = [];
    for (const [instance, target] of plan) {
      const permits = this.limitGrowth(instance, target, free);
      const current = book.latest(instance)?.permits;
      if (!isWorthSending(current, permits, free)) continue;
      this.deductGrowth(instance, permits, free);
      outputs.push(this.send(instance, permits, nowMs));
    }
    return outputs;
  }

  /** Limits growth to permits that no other instance may be using. */
  private limitGrowth(
    instance: InstanceId,
    target: PermitCounts,
    free: PermitCounts,
  ): Map<EndpointId, number> {
    const permits = new Map<EndpointId, number>();
    for (const [endpoint, wanted] of target) {
      const ceiling = this.options.book.ceiling(instance, endpoint);
      const most = ceiling + Math.max(0, free.get(endpoint) ?? 0);
      permits.set(endpoint, Math.min(wanted, most));
    }
    return permits;
  }

  private deductGrowth(
    instance: InstanceId,
    permits: PermitCounts,
    free: Map<EndpointId, number>,
  ): void {
    for (const [endpoint, count] of permits) {
      const ceiling = this.options.book.ceiling(instance, endpoint);
      const growth = Math.max(0, count - ceiling);
      free.set(endpoint, (free.get(endpoint) ?? 0) - growth);
    }
  }

  /** Limit minus reserved permits; negative where the limit has fallen. */
  private freePermits(nowMs: number): Map<EndpointId, number> {
    const reserved = this.options.book.reserved();
    const free = this.options.endpoints.allottable(nowMs);
    for (const [endpoint, permits] of free) {
      free.set(endpoint, permits - (reserved.get(endpoint) ?? 0));
    }
    return free;
  }

  private divisible(nowMs: number) {
    const granted = new Map<EndpointId, number>();
    for (const {endpoint, underAllotment} of this.options.book.all()) {
      if (underAllotment) continue;
      granted.set(endpoint, (granted.get(endpoint) ?? 0) + 1);
    }
    const allottable = this.options.endpoints.allottable(nowMs);
    return [...allottable].map(([endpoint, limit]) => {
      const left = Math.max(0, limit - (granted.get(endpoint) ?? 0));
      return {endpoint, permits: Math.floor(left * (1 - UNALLOTTED_SHARE))};
    });
  }

  private uses(): InstanceUse[] {
    return [...this.recentUse].map(([instance, recentUse]) => ({
      instance,
      recentUse,
    }));
  }

  private measureUse(): void {
    const counts = new Map<InstanceId, number>();
    for (const {instance} of this.options.book.all()) {
      counts.set(instance, (counts.get(instance) ?? 0) + 1);
    }
    for (const [instance, mean] of this.recentUse) {
      const count = counts.get(instance) ?? 0;
      this.recentUse.set(instance, mean + (count - mean) * USE_WEIGHT);
    }
  }

  /**
   * Sends lost allotments again, as their permits would stay reserved
   * otherwise.
   */
  private resendLost(nowMs: number): CellOutput[] {
    const {book, resendAfterMs} = this.options;
    return this.instances().flatMap(instance => {
      const latest = book.latest(instance);
      if (latest === undefined || !book.isPending(instance)) return [];
      if (nowMs - latest.sentAtMs < resendAfterMs) return [];
      return [this.send(instance, latest.permits, nowMs)];
    });
  }

  private send(
    instance: InstanceId,
    permits: PermitCounts,
    nowMs: number,
  ): CellOutput {
    const sequence = this.options.book.allot(instance, permits, nowMs);
    return this.message(instance, sequence, permits, nowMs);
  }

  private message(
    instance: InstanceId,
    sequence: number,
    permits: PermitCounts,
    nowMs: number,
  ): CellOutput {
    const limits = this.options.endpoints.allottable(nowMs);
    const endpoints = [...limits].map(([endpoint, limit]) => ({
      endpoint,
      permits: permits.get(endpoint) ?? 0,
      limit,
    }));
    const {cell, term} = this.options;
    const allotment = {cell, sequence, term, endpoints};
    return {kind: 'allot', instance, allotment};
  }
}

function isWorthSending(
  current: PermitCounts | undefined,
  next: PermitCounts,
  free: PermitCounts,
): boolean {
  if (current === undefined) return true;
  for (const endpoint of new Set([...current.keys(), ...next.keys()])) {
    const before = current.get(endpoint) ?? 0;
    const after = next.get(endpoint) ?? 0;
    if (after === before) continue;
    const overLimit = (free.get(endpoint) ?? -1) < 0;
    if (overLimit && after < before) return true;
    const change = Math.max(MIN_CHANGE_COUNT, before * MIN_CHANGE_SHARE);
    if (Math.abs(after - before) >= change) return true;
    if (before === 0 || after === 0) return true;
  }
  return false;
}

function withZeroCounts(permits: PermitCounts): PermitCounts {
  return new Map([...permits.keys()].map(endpoint => [endpoint, 0]));
}

function total(permits: PermitCounts): number {
  let sum = 0;
  for (const count of permits.values()) sum += count;
  return sum;
}
