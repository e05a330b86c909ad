/**
 * Queue of the `tiered` policy: strict tiers, a small guaranteed share of the
 * dispatches for each class, and fairness between the client accounts of a
 * class.
 */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {AttemptId, RequestClassId} from '@snipestage/types/ids.js';
import {ClassQueue} from './class_queue.js';
import {
  DispatchQueue,
  drainTimeMs,
  type CellRates,
  type ClassQueueSnapshot,
  type ServedWork,
  type WaitingRequest,
} from './dispatch_queue.js';

/** Most of the dispatches that all guaranteed shares together may get. */
const MAX_TOTAL_GUARANTEED_SHARE = 0.5;
/** Most dispatches that a class that could not be served may save up. */
const MAX_CREDIT_DISPATCHES = 2;
/** Sums of shares such as 0.1 fall slightly short of whole numbers. */
const CREDIT_ROUNDING_TOLERANCE = 1e-9;

/**
 * Orders by tier; a class whose guaranteed share has accrued to a whole
 * dispatch goes first for one turn.
 *
 * @example
 * const queue = new TieredQueue();
 * queue.configure(classes);
 */
export class TieredQueue extends DispatchQueue {
  private readonly classes = new Map<RequestClassId, ClassQueue>();
  private readonly waiting = new Map<AttemptId, WaitingRequest>();
  private shareScale = 1;

  get size(): number {
    return this.waiting.size;
  }

  configure(classes: readonly RequestClass[]): void {
    let total = 0;
    for (const {id, tier, guaranteedShare} of classes) {
      const queue = this.classOf(id, tier);
      queue.tier = tier;
      queue.guaranteedShare = guaranteedShare;
      total += guaranteedShare;
    }
    this.shareScale = Math.min(
      1,
      MAX_TOTAL_GUARANTEED_SHARE / Math.max(total, 1e-6),
    );
    this.forgetRemoved(classes);
  }

  has(attempt: AttemptId): boolean {
    return this.waiting.has(attempt);
  }

  add(request: WaitingRequest): void {
    const {attempt, requestClass, tier} = request.ask;
    this.waiting.set(attempt, request);
    this.classOf(requestClass, tier).add(request);
  }

  remove(attempt: AttemptId): WaitingRequest | undefined {
    const request = this.waiting.get(attempt);
    if (request === undefined) return undefined;
    this.waiting.delete(attempt);
    this.classes.get(request.ask.requestClass)?.remove(request);
    return request;
  }

  all(): WaitingRequest[] {
    return [...this.waiting.values()];
  }

  *inDispatchOrder(): Iterable<WaitingRequest> {
    const byTier = this.waitingClasses();
    const owed = byTier
      .filter(queue => queue.credit >= 1 - CREDIT_ROUNDING_TOLERANCE)
      .sort((a, b) => b.credit - a.credit);
    if (owed.length > 0) yield* owed[0].inDispatchOrder();
    for (const queue of byTier) {
      if (queue !== owed[0]) yield* queue.inDispatchOrder();
    }
  }

  dispatch(attempt: AttemptId): void {
    const request = this.waiting.get(attempt);
    if (request === undefined) return;
    for (const queue of this.classes.values()) {
      if (queue.size > 0) this.accrue(queue);
    }
    const served = this.classes.get(request.ask.requestClass);
    if (served !== undefined) served.credit = Math.max(0, served.credit - 1);
    this.remove(attempt);
  }

  chooseVictim(incoming: WaitingRequest): WaitingRequest {
    const byTier = this.waitingClasses().reverse();
    for (const queue of byTier) {
      if (queue.tier < incoming.ask.tier) break;
      const victim = queue.newestOfLargest(this.reserved(queue));
      if (victim !== undefined) return victim;
    }
    return incoming;
  }

  /**
   * One waiting request of each class with a guaranteed share is not counted.
   * If it were, either the class would starve while the queue is full of higher
   * tiers, or a request of a higher tier would be refused in its favour.
   */
  countAgainstLimit(): number {
    let reserved = 0;
    for (const queue of this.classes.values()) {
      if (queue.guaranteedShare > 0 && queue.size > 0) reserved++;
    }
    return this.waiting.size - reserved;
  }

  /**
   * The class is served either from the capacity that higher tiers leave over,
   * after the waiting requests of higher and equal tiers, or by its guaranteed
   * share, whichever is sooner. `Infinity` if neither serves it, 0 if the drain
   * rate is unknown.
   */
  expectedWaitMs(request: WaitingRequest, rates: CellRates): number {
    const {clientAccount, requestClass, tier} = request.ask;
    const own = this.classOf(requestClass, tier);
    const ahead = own.countAhead(clientAccount);
    let above = 0;
    for (const queue of this.classes.values()) {
      if (queue !== own && queue.tier <= own.tier) above += queue.size;
    }
    const drain = rates.drainPerSecond;
    const leftOver = drain - rates.arrivalsAbove(own.tier);
    const guaranteed = drain * own.guaranteedShare * this.shareScale;
    if (leftOver <= 0 && guaranteed <= 0) {
      return drain > 0 ? Infinity : 0;
    }
    const byLeftOver =
      leftOver > 0 ? drainTimeMs(above + ahead, leftOver) : Infinity;
    const byShare =
      guaranteed > 0 ? drainTimeMs(ahead + 1, guaranteed) : Infinity;
    return Math.min(byLeftOver, byShare);
  }

  charge(work: ServedWork, tokens: number): void {
    const queue = this.classes.get(work.requestClass);
    queue?.counters.charge(work.clientAccount, tokens);
  }

  snapshot(): ClassQueueSnapshot[] {
    return [...this.classes.values()].map(queue => queue.snapshot());
  }

  private accrue(queue: ClassQueue): void {
    const share = queue.guaranteedShare * this.shareScale;
    queue.credit = Math.min(MAX_CREDIT_DISPATCHES, queue.credit + share);
  }

  private reserved(queue: ClassQueue): WaitingRequest | undefined {
    return queue.guaranteedShare > 0 ? queue.oldest() : undefined;
  }

  /**
   * Classes with waiting requests by tier; within a tier, the longest wait
   * first.
   */
  private waitingClasses(): ClassQueue[] {
    const queues = [...this.classes.values()].filter(({size}) => size > 0);
    return queues.sort((a, b) => a.tier - b.tier || arrival(a) - arrival(b));
  }

  private classOf(id: RequestClassId, tier: number): ClassQueue {
    let queue = this.classes.get(id);
    if (queue === undefined) {
      queue = new ClassQueue({requestClass: id, tier});
      this.classes.set(id, queue);
    }
    return queue;
  }

  private forgetRemoved(classes: readonly RequestClass[]): void {
    const inForce = new Set(classes.map(({id}) => id));
    for (const [id, queue] of this.classes) {
      if (queue.size === 0 && !inForce.has(id)) this.classes.delete(id);
    }
  }
}

function arrival(queue: ClassQueue): number {
  return queue.oldest()?.arrival ?? 0;
}
