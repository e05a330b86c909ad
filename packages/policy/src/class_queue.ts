/** Queue of one request class, fair between client accounts. */

import type {
  AttemptId,
  ClientAccountId,
  RequestClassId,
} from '@snipestage/types/ids.js';
import type {ClassQueueSnapshot, WaitingRequest} from './dispatch_queue.js';
import {VirtualCounters} from './virtual_counters.js';

type AccountQueue = Map<AttemptId, WaitingRequest>;

/** Options of {@link ClassQueue}. */
export interface ClassQueueOptions {
  readonly requestClass: RequestClassId;
  readonly tier?: number;
  /** Share of the dispatches that is guaranteed to the class. */
  readonly guaranteedShare?: number;
}

/**
 * Orders the requests of an account by arrival, and puts the account for which
 * the fewest tokens were produced first.
 */
export class ClassQueue {
  readonly requestClass: RequestClassId;
  readonly counters = new VirtualCounters();
  tier: number;
  guaranteedShare: number;
  /** Dispatches owed to the class by its guaranteed share. */
  credit = 0;
  size = 0;
  private readonly accounts = new Map<ClientAccountId, AccountQueue>();

  constructor(options: ClassQueueOptions) {
    this.requestClass = options.requestClass;
    this.tier = options.tier ?? 0;
    this.guaranteedShare = options.guaranteedShare ?? 0;
  }

  add(request: WaitingRequest): void {
    const account = request.ask.clientAccount;
    let queue = this.accounts.get(account);
    if (queue === undefined) {
      queue = new Map();
      this.accounts.set(account, queue);
      this.counters.activate(account);
    }
    queue.set(request.ask.attempt, request);
    this.size++;
  }

  remove(request: WaitingRequest): void {
    const account = request.ask.clientAccount;
    const queue = this.accounts.get(account);
    if (!queue?.delete(request.ask.attempt)) return;
    this.size--;
    if (queue.size > 0) return;
    this.accounts.delete(account);
    this.counters.deactivate(account);
    if (this.size === 0) this.credit = 0;
  }

  *inDispatchOrder(): Iterable<WaitingRequest> {
    const least = this.counters.leastServed();
    if (least === undefined) return;
    yield* this.accounts.get(least)?.values() ?? [];
    // Rarely reached: only when none of the requests above can be placed.
    for (const account of this.counters.inOrder()) {
      if (account === least) continue;
      yield* this.accounts.get(account)?.values() ?? [];
    }
  }

  /** The request that has waited longest. */
  oldest(): WaitingRequest | undefined {
    let oldest: WaitingRequest | undefined;
    for (const queue of this.accounts.values()) {
      for (const head of queue.values()) {
        if (oldest === undefined || head.arrival < oldest.arrival) {
          oldest = head;
        }
        break;
      }
    }
    return oldest;
  }

  /**
   * Chooses the request to shed: the newest of the account with the most
   * waiting requests, but never `kept`. If the newest of all were shed, an
   * account that fills the queue would cause the requests of others to be
   * refused instead of its own: in simulation the worst of the others attained
   * 16%, and 100% with this rule.
   */
  newestOfLargest(kept?: WaitingRequest): WaitingRequest | undefined {
    let largest: {newest: WaitingRequest; size: number} | undefined;
    for (const queue of this.accounts.values()) {
      const newest = lastValue(queue);
      if (newest === undefined || newest === kept) continue;
      if (largest === undefined || isLarger(queue.size, newest, largest)) {
        largest = {newest, size: queue.size};
      }
    }
    return largest?.newest;
  }

  /**
   * Number of requests dispatched before a new one of the account: it takes
   * turns with the other accounts, however many requests each of them has
   * waiting.
   */
  countAhead(account: ClientAccountId): number {
    const own = this.accounts.get(account)?.size ?? 0;
    let ahead = own;
    for (const [other, queue] of this.accounts) {
      if (other !== account) ahead += Math.min(queue.size, own + 1);
    }
    return ahead;
  }

  snapshot(): ClassQueueSnapshot {
    return {
      requestClass: this.requestClass,
      tier: this.tier,
      waiting: this.size,
      accounts: [...this.accounts].map(([clientAccount, queue]) => ({
        clientAccount,
        waiting: queue.size,
        virtualTokens: this.counters.get(clientAccount),
      })),
    };
  }
}

function isLarger(
  size: number,
  newest: WaitingRequest,
  than: {newest: WaitingRequest; size: number},
): boolean {
  if (size !== than.size) return size > than.size;
  return newest.arrival > than.newest.arrival;
}

function lastValue(queue: AccountQueue): WaitingRequest | undefined {
  let last: WaitingRequest | undefined;
  for (const request of queue.values()) last = request;
  return last;
}
