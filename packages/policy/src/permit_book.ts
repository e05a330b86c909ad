/**
 * Permits that are held in a cell, and the allotments sent to its instances:
 * permits that an instance may use without requesting them.
 */

import type {
  AttemptId,
  ClientAccountId,
  EndpointId,
  InstanceId,
  RequestClassId,
} from '@snipestage/types/ids.js';

/** Tokens that an attempt had produced after some time. */
export interface TokenMark {
  readonly outputTokens: number;
  readonly elapsedMs: number;
}

/** A permit that an attempt holds. */
export interface HeldPermit {
  readonly attempt: AttemptId;
  readonly instance: InstanceId;
  readonly endpoint: EndpointId;
  readonly clientAccount: ClientAccountId;
  readonly requestClass: RequestClassId;
  readonly tier: number;
  readonly suspect: boolean;
  /** Counted within the allotment of its instance. */
  underAllotment: boolean;
  readonly sinceMs: number;
  /** The instance has reported that it holds the permit. */
  confirmed: boolean;
  /** Weighted tokens that the client account was charged so far. */
  chargedTokens: number;
  outputTokens: number;
  /** Mark from which the time between tokens is measured; absent before any. */
  measuredFrom?: TokenMark;
}

/** Permits by endpoint. */
export type PermitCounts = ReadonlyMap<EndpointId, number>;

interface SentAllotment {
  readonly sequence: number;
  readonly permits: PermitCounts;
  readonly sentAtMs: number;
}

/**
 * Counts a permit as reserved from the moment an instance may use it until the
 * owner knows that it no longer can. An allotment that was reduced still counts
 * in full until the instance has applied the smaller one. Otherwise its permits
 * would go to others while the instance, which has not received the change yet,
 * starts requests under the old one, and the endpoint would exceed its limit.
 */
export class PermitBook {
  private readonly held = new Map<AttemptId, HeldPermit>();
  private readonly allotments = new Map<InstanceId, SentAllotment[]>();
  private lastSequence = 0;
  /**
   * Cached until a permit or an allotment changes, as it is read far more
   * often.
   */
  private reservedCounts: PermitCounts | undefined;
  private inFlightCounts: PermitCounts | undefined;

  hold(permit: HeldPermit): void {
    this.held.set(permit.attempt, permit);
    this.forgetCounts();
  }

  /**
   * Records that the instance reported a permit, and whether the permit counts
   * within its allotment.
   */
  confirm(permit: HeldPermit, underAllotment: boolean): void {
    permit.confirmed = true;
    permit.underAllotment = underAllotment;
    this.forgetCounts();
  }

  free(attempt: AttemptId): HeldPermit | undefined {
    const permit = this.held.get(attempt);
    if (this.held.delete(attempt)) this.forgetCounts();
    return permit;
  }

  get(attempt: AttemptId): HeldPermit | undefined {
    return this.held.get(attempt);
  }

  all(): Iterable<HeldPermit> {
    return this.held.values();
  }

  heldBy(instance: InstanceId): HeldPermit[] {
    return [...this.held.values()].filter(
      permit => permit.instance === instance,
    );
  }

  /** Records an allotment that is being sent; returns its sequence. */
  allot(instance: InstanceId, permits: PermitCounts, nowMs: number): number {
    const sequence = ++this.lastSequence;
    const sent = this.allotments.get(instance) ?? [];
    sent.push({sequence, permits, sentAtMs: nowMs});
    this.allotments.set(instance, sent);
    this.forgetCounts();
    return sequence;
  }

  /**
   * Records that the instance has applied an allotment; older ones no longer
   * count.
   */
  applied(instance: InstanceId, sequence: number): void {
    const sent = this.allotments.get(instance) ?? [];
    const newer = sent.filter(allotment => allotment.sequence >= sequence);
    if (newer.length === 0 || newer.length === sent.length) return;
    this.allotments.set(instance, newer);
    this.forgetCounts();
  }

  latest(instance: InstanceId): SentAllotment | undefined {
    return this.allotments.get(instance)?.at(-1);
  }

  /** Whether the latest of several allotments has not been applied yet. */
  isPending(instance: InstanceId): boolean {
    return (this.allotments.get(instance)?.length ?? 0) > 1;
  }

  /**
   * Most attempts an instance may run under any allotment it may have applied.
   */
  ceiling(instance: InstanceId, endpoint: EndpointId): number {
    const sent = this.allotments.get(instance) ?? [];
    return sent.reduce(
      (most, {permits}) => Math.max(most, permits.get(endpoint) ?? 0),
      0,
    );
  }

  /** Permits of each endpoint that are in use or allotted. */
  reserved(): PermitCounts {
    this.reservedCounts ??= this.countReserved();
    return this.reservedCounts;
  }

  /** Permits held at each endpoint. */
  inFlight(): PermitCounts {
    this.inFlightCounts ??= this.countInFlight();
    return this.inFlightCounts;
  }

  private forgetCounts(): void {
    this.reservedCounts = undefined;
    this.inFlightCounts = undefined;
  }

  private countReserved(): PermitCounts {
    const reserved = new Map<EndpointId, number>();
    const runningUnderAllotments = this.countUnderAllotments();
    for (const {endpoint, underAllotment} of this.held.values()) {
      if (!underAllotment) add(reserved, endpoint, 1);
    }
    for (const [instance, counts] of runningUnderAllotments) {
      for (const [endpoint, running] of counts) {
        const ceiling = this.ceiling(instance, endpoint);
        add(reserved, endpoint, Math.max(running, ceiling));
      }
    }
    return reserved;
  }

  private countInFlight(): PermitCounts {
    const counts = new Map<EndpointId, number>();
    for (const {endpoint} of this.held.values()) add(counts, endpoint, 1);
    return counts;
  }

  /** Forgets the allotments of an instance. */
  forgetInstance(instance: InstanceId): void {
    this.allotments.delete(instance);
    this.forgetCounts();
  }

  /**
   * Attempts under allotments, by instance and endpoint; 0 where only allotted.
   */
  private countUnderAllotments(): Map<InstanceId, Map<EndpointId, number>> {
    const counts = new Map<InstanceId, Map<EndpointId, number>>();
    const at = (instance: InstanceId) => {
      const known = counts.get(instance) ?? new Map<EndpointId, number>();
      counts.set(instance, known);
      return known;
    };
    for (const [instance, sent] of this.allotments) {
      for (const {permits} of sent) {
        for (const endpoint of permits.keys()) add(at(instance), endpoint, 0);
      }
    }
    for (const {instance, endpoint, underAllotment} of this.held.values()) {
      if (underAllotment) add(at(instance), endpoint, 1);
    }
    return counts;
  }
}

function add<Key>(counts: Map<Key, number>, key: Key, number: number): void {
  counts.set(key, (counts.get(key) ?? 0) + number);
}
