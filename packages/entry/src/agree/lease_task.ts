/** Acquires, renews and releases one lease. */

import {
  beginLease,
  leaseInForce,
  transitionLease,
  type HeldLease,
  type LeaseEffect,
  type LeaseEvent,
  type LeaseOptions,
  type LeaseState,
} from '@snipestage/agreement/lease.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Metrics} from '@snipestage/log/metrics.js';
import type {SendGuard} from '@snipestage/platform/platform.js';
import type {LeaseName} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import type {TableExecutor} from '../configure/table_executor.js';

const TICKS_PER_RENEWAL = 5;

/** Notified when a term begins and when it ends. */
export interface LeaseListener {
  acquired(held: HeldLease): void;
  lost(): void;
}

/** Options of {@link LeaseTask}; default in the brackets. */
export interface LeaseTaskOptions {
  readonly lease: LeaseOptions;
  readonly executor: TableExecutor;
  readonly clock: MonotonicClock;
  readonly logger: Logger;
  /** (nothing is counted) */
  readonly metrics?: Metrics;
  /**
   * Whether this instance may try to acquire the lease; only a few instances
   * do.
   */
  readonly isCandidate: () => boolean;
}

/**
 * Owns the lease's state. Everything sent under the lease needs a guard from
 * {@link LeaseTask.guard}.
 */
export class LeaseTask {
  private state: LeaseState;
  private timer: NodeJS.Timeout | undefined;
  private termTimer: NodeJS.Timeout | undefined;
  private term = new AbortController();
  private isRetiring = false;
  private readonly listeners: LeaseListener[] = [];

  constructor(private readonly options: LeaseTaskOptions) {
    this.state = beginLease(options.lease);
    this.term.abort();
  }

  listen(listener: LeaseListener): void {
    this.listeners.push(listener);
  }

  get name(): LeaseName {
    return this.options.lease.name;
  }

  get held(): HeldLease | undefined {
    return leaseInForce(this.state, this.options.clock());
  }

  /**
   * Returns a guard that allows sends only within the term that is in force
   * now.
   */
  guard(): SendGuard {
    const token = this.held?.fencingToken;
    return {
      mayStillSend: () =>
        token !== undefined && this.held?.fencingToken === token,
      signal: this.term.signal,
    };
  }

  start(): void {
    const everyMs = this.options.lease.renewEveryMs / TICKS_PER_RENEWAL;
    this.timer = setInterval(() => this.tick(), everyMs);
  }

  /** Releases the lease, so that a successor needn't wait for it to expire. */
  async retire(): Promise<void> {
    clearInterval(this.timer);
    this.isRetiring = true;
    await this.handle({kind: 'retire', nowMs: this.options.clock()});
    clearTimeout(this.termTimer);
  }

  snapshot(): object {
    const {held} = this;
    const nowMs = this.options.clock();
    return {
      name: this.options.lease.name,
      held: held !== undefined,
      fencingToken: held?.fencingToken,
      endsInMs: held && Math.round(held.termEndsAtMs - nowMs),
    };
  }

  private tick(): void {
    if (this.isRetiring) return;
    // An instance that is no longer a candidate goes on renewing a lease that
    // it holds, but doesn't try to acquire one.
    if (this.state.held === undefined && !this.options.isCandidate()) return;
    void this.handle({kind: 'tick', nowMs: this.options.clock()});
  }

  private async handle(event: LeaseEvent): Promise<void> {
    const step = transitionLease(this.state, event);
    this.state = step.state;
    await Promise.all(step.effects.map(effect => this.carryOut(effect)));
  }

  private async carryOut(effect: LeaseEffect): Promise<void> {
    switch (effect.kind) {
      case 'acquired':
        this.beginTerm(effect.held);
        return;
      case 'extended':
        this.watchTerm(effect.held);
        return;
      case 'lost':
        this.endTerm();
        return;
      default:
        await this.handle(await this.options.executor.carryOut(effect));
    }
  }

  private beginTerm(held: HeldLease): void {
    this.term = new AbortController();
    this.watchTerm(held);
    this.options.logger.info('lease_acquired', {
      lease: this.options.lease.name,
      fencingToken: held.fencingToken,
    });
    this.countChange('taken');
    for (const listener of this.listeners) listener.acquired(held);
  }

  private endTerm(): void {
    clearTimeout(this.termTimer);
    this.term.abort();
    this.options.logger.info('lease_lost', {lease: this.options.lease.name});
    this.countChange(this.isRetiring ? 'handed_over' : 'lost');
    for (const listener of this.listeners) listener.lost();
  }

  private countChange(change: 'taken' | 'lost' | 'handed_over'): void {
    const {name: lease} = this;
    this.options.metrics?.count('lease_changes', 1, {lease, change});
  }

  /**
   * Sends the protocol a tick right after the term's end, so that the term's
   * signal aborts if the lease wasn't renewed. Bytes written to a connection
   * may still be in the kernel's buffer then; unless the connection is reset,
   * an order could arrive after the successor's.
   */
  private watchTerm(held: HeldLease): void {
    clearTimeout(this.termTimer);
    const leftMs = held.termEndsAtMs - this.options.clock();
    this.termTimer = setTimeout(
      () => void this.handle({kind: 'tick', nowMs: this.options.clock()}),
      Math.max(0, leftMs) + 1,
    );
  }
}
