/** Who holds which permit of a cell, and what its instances may start unasked. */

import type {
  AttemptId,
  ClientAccountId,
  EndpointId,
  InstanceId,
  RequestClassId,
} from '@snipestage/types/ids.js';

/** How far an attempt had come after how long. */
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
  /** The instance has told that it holds it. */
  confirmed: boolean;
  /** Tokens that its client account was charged so far, weighted. */
  chargedTokens: number;
  outputTokens: number;
  /** From where the time between tokens is measured; absent before any. */
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
 * owner knows that it no longer can. An allotment that was made smaller still
 * counts whole until the instance has applied the smaller one: counted at once,
 * its permits would go to others while the instance, which has not heard yet,
 * starts under the old one, and the endpoint would run above its limit.
 */
export class PermitBook {
  private readonly held = new Map<AttemptId, HeldPermit>();
  private readonly allotments = new Map<InstanceId, SentAllotment[]>();
  private lastSequence = 0;
  /** Kept until a permit or an allotment changes; asked for far more often. */
  private reservedCounts: PermitCounts | undefined;
  private inFlightCounts: PermitCounts | undefined;

  hold(permit: HeldPermit): void {
    this.held.set(permit.attempt, permit);
    this.forgetCounts();
  }

  /** The instance has told again under what it holds a permit. */
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

  /** Records an allotment that is being sent; gives its sequence. */
  allot(instance: InstanceId, permits: PermitCounts, nowMs: number): number {
    const sequence = ++this.lastSequence;
    const sent = this.allotments.get(instance) ?? [];
    sent.push({sequence, permits, sentAtMs: nowMs});
    this.allotments.set(instance, sent);
    this.forgetCounts();
    return sequence;
  }

  /** The instance keeps to this allotment; older ones no longer count. */
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

  /** The latest has not been applied yet. */
  isPending(instance: InstanceId): boolean {
    return (this.allotments.get(instance)?.length ?? 0) > 1;
  }

  /** What an instance may have running under any allotment it may know. */
  ceiling(instance: InstanceId, endpoint: EndpointId): number {
    const sent = this.allotments.get(instance) ?? [];
    return sent.reduce(
      (most, {permits}) => Math.max(most, permits.get(endpoint) ?? 0),
      0,
    );
  }

  /** Permits of each endpoint that are in use or may be without asking. */
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
    const unasked = this.countUnasked();
    for (const {endpoint, underAllotment} of this.held.values()) {
      if (!underAllotment) add(reserved, endpoint, 1);
    }
    for (const [instance, counts] of unasked) {
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

  /** Running under allotments, by instance and endpoint; 0 where only allotted. */
  private countUnasked(): Map<InstanceId, Map<EndpointId, number>> {
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
