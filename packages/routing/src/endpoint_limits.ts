/** Keeps to the limits that endpoints in need name in their answers. */

import type {EndpointId} from '@snipestage/types/ids.js';

/** What an {@link EndpointLimits} is made from; defaults in the brackets. */
export interface EndpointLimitsOptions {
  /** How many instances there are, as far as it is known. */
  readonly readInstances: () => number | undefined;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
}

/** How a limit has changed with an answer. */
export type LimitChange = 'named' | 'changed' | 'lifted';

interface Allowance {
  limitPerS: number;
  /** Requests that this instance may send now; whole ones count. */
  level: number;
  updatedAtMs: number;
}

const SECOND_MS = 1000;
/** Assumed while the number is unknown. */
const UNKNOWN_INSTANCES = 100;
/** Instances that have started since they were last counted, as a share. */
const UNCOUNTED_SHARE = 0.5;
/** An allowance may be saved up for so long. */
const MAX_SAVED_S = 0.5;
/** Without a request now and then, nobody would see a limit lifted. */
const MIN_LIMIT_PER_S = 0.1;

/**
 * Load pattern: an endpoint in need names how many requests a second it takes
 * from all instances together, while each of dozens of instances has requests for
 * it all the time.
 *
 * Instances share the rate without a message: each takes an equal part of it, and
 * the first of them at a random time, so that their requests don't come at once.
 */
export class EndpointLimits {
  private readonly allowances = new Map<EndpointId, Allowance>();
  private readonly random: () => number;

  constructor(private readonly options: EndpointLimitsOptions) {
    this.random = options.random ?? Math.random;
  }

  /**
   * An answer of an endpoint came.
   *
   * @param limitPerS requests a second that it named; undefined when it named none.
   * @returns undefined when nothing has changed.
   * @example
   * const change = limits.note(endpoint.id, head.limitPerS, nowMs);
   */
  note(
    id: EndpointId,
    limitPerS: number | undefined,
    nowMs: number,
  ): LimitChange | undefined {
    const allowance = this.allowances.get(id);
    if (allowance?.limitPerS === limitPerS) return undefined;
    if (limitPerS === undefined) {
      this.allowances.delete(id);
      return 'lifted';
    }
    if (allowance === undefined) {
      const level = this.random();
      this.allowances.set(id, {limitPerS, level, updatedAtMs: nowMs});
      return 'named';
    }
    this.refill(allowance, nowMs);
    allowance.limitPerS = limitPerS;
    return 'changed';
  }

  /** Requests a second; undefined for an endpoint without a limit. */
  find(id: EndpointId): number | undefined {
    return this.allowances.get(id)?.limitPerS;
  }

  /**
   * Whether this instance may send an endpoint a request now.
   *
   * @example
   * const open = endpoints.filter(each => limits.mayAdmit(each.id, nowMs));
   */
  mayAdmit(id: EndpointId, nowMs: number): boolean {
    const allowance = this.allowances.get(id);
    if (allowance === undefined) return true;
    this.refill(allowance, nowMs);
    return allowance.level >= 1;
  }

  /** A request is sent to an endpoint. */
  noteSent(id: EndpointId, nowMs: number): void {
    const allowance = this.allowances.get(id);
    if (allowance === undefined) return;
    this.refill(allowance, nowMs);
    allowance.level = Math.max(0, allowance.level - 1);
  }

  /** In which time a limited endpoint takes another request of anybody; else 0. */
  intervalMs(id: EndpointId): number {
    const limitPerS = this.find(id);
    return limitPerS === undefined
      ? 0
      : SECOND_MS / Math.max(MIN_LIMIT_PER_S, limitPerS);
  }

  /** Forgets endpoints that are gone. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.allowances.keys()) {
      if (!ids.has(id)) this.allowances.delete(id);
    }
  }

  private refill(allowance: Allowance, nowMs: number): void {
    const sinceMs = Math.max(0, nowMs - allowance.updatedAtMs);
    const ownPerS = this.ownShare(allowance.limitPerS);
    const most = Math.max(1, ownPerS * MAX_SAVED_S);
    const level = allowance.level + (sinceMs / SECOND_MS) * ownPerS;
    allowance.level = Math.min(most, level);
    allowance.updatedAtMs = nowMs;
  }

  private ownShare(limitPerS: number): number {
    const instances = this.options.readInstances() ?? UNKNOWN_INSTANCES;
    const most = Math.max(1, instances) * (1 + UNCOUNTED_SHARE);
    return Math.max(MIN_LIMIT_PER_S, limitPerS) / most;
  }
}
