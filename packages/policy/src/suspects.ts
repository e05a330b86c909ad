/**
 * Tracks requests that may crash endpoints. Occasionally a request crashes each
 * endpoint that runs it, and its caller sends it again; without a record of it,
 * one caller can take down all endpoints of a data centre. Requests in flight
 * at a crash are suspect and run alone, so that another crash affects no other
 * request and identifies the cause.
 *
 * Only crashes are stored; everything else is derived from them. Instances send
 * each other their crashes, and decide alike in whatever order these arrive.
 */

import type {
  DataCentreId,
  EndpointId,
  Fingerprint,
} from '@snipestage/types/ids.js';

/** A crash of an endpoint, as one instance saw it and reports it to others. */
export interface ReportedCrash {
  /** Unique: `<instance>/<incarnation>/<number>`. */
  readonly id: string;
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  /** An age instead of a time, since clocks differ between instances. */
  readonly ageMs: number;
  /** Requests that this instance had in flight there. */
  readonly inFlight: readonly Fingerprint[];
  /** The request in flight ran alone at the endpoint; false if absent. */
  readonly alone?: boolean;
  /** Those of them that have since finished. */
  readonly cleared: readonly Fingerprint[];
}

/** How to treat a request. */
export type SuspectDecision =
  | {readonly kind: 'clear'}
  /** Needs an endpoint to itself, and is never hedged. */
  | {readonly kind: 'run_alone'}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** Crashes with a request in flight. */
export interface SuspectHistory {
  /** Reports of crashes; several instances may report the same crash. */
  readonly reports: number;
  /** Crashes since the request last finished. */
  readonly crashes: number;
  /** Those of them that count as reclaims of endpoints. */
  readonly reclaims: number;
}

/** Options of a {@link SuspectTable}; defaults in brackets. */
export interface SuspectTableOptions {
  /** How long after its last crash a request is refused (10 minutes). */
  readonly refuseForMs?: number;
  /** How long a crash is stored (20 minutes). */
  readonly retainForMs?: number;
  /** The oldest crashes beyond this number are evicted (256). */
  readonly maxCrashes?: number;
}

const MINUTE_MS = 60_000;
const DEFAULT_REFUSE_FOR_MS = 10 * MINUTE_MS;
const DEFAULT_RETAIN_FOR_MS = 20 * MINUTE_MS;
const DEFAULT_MAX_CRASHES = 256;
const REFUSAL_CRASH_COUNT = 2;
/**
 * Several instances see one crash of an endpoint at nearly the same time; what
 * they see within this time counts as one crash.
 */
const SAME_CRASH_WINDOW_MS = 5000;
/**
 * At least this many endpoints of a data centre that crash within
 * {@link RECLAIM_WINDOW_MS} count as reclaimed.
 */
const RECLAIM_ENDPOINT_COUNT = 3;
const RECLAIM_WINDOW_MS = 5000;

interface Crash {
  readonly id: string;
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  atMs: number;
  readonly inFlight: ReadonlySet<Fingerprint>;
  readonly alone: boolean;
  readonly cleared: Set<Fingerprint>;
}

/**
 * Stores recent crashes and decides on requests by them. Times are milliseconds
 * of one monotonic clock.
 */
export class SuspectTable {
  private readonly crashes = new Map<string, Crash>();
  private readonly byFingerprint = new Map<Fingerprint, Set<Crash>>();
  private readonly changed = new Set<Crash>();
  private readonly refuseForMs: number;
  private readonly retainForMs: number;
  private readonly maxCrashes: number;

  constructor(options: SuspectTableOptions = {}) {
    this.refuseForMs = options.refuseForMs ?? DEFAULT_REFUSE_FOR_MS;
    this.retainForMs = options.retainForMs ?? DEFAULT_RETAIN_FOR_MS;
    this.maxCrashes = options.maxCrashes ?? DEFAULT_MAX_CRASHES;
  }

  /** Number of stored crashes. */
  get size(): number {
    return this.crashes.size;
  }

  /** Whether a crash is stored already. */
  has(id: string): boolean {
    return this.crashes.has(id);
  }

  /**
   * What is known of a request's crashes; undefined when there were none.
   *
   * @example
   * logger.info('suspect_classified', {...table.describe(fingerprint)});
   */
  describe(fingerprint: Fingerprint): SuspectHistory | undefined {
    const crashes = this.byFingerprint.get(fingerprint);
    if (crashes === undefined) return undefined;
    const all = [...crashes];
    const open = all.filter(crash => !crash.cleared.has(fingerprint));
    const reclaims = open.filter(crash => this.isReclaim(crash, fingerprint));
    return {
      reports: all.length,
      crashes: countDistinct(open),
      reclaims: countDistinct(reclaims),
    };
  }

  /**
   * Merges crashes seen here or reported by other instances; merging a crash
   * again has no effect.
   *
   * @example
   * table.merge([{id, endpoint, dataCentre, ageMs: 0, inFlight, cleared: []}], nowMs);
   */
  merge(reported: readonly ReportedCrash[], nowMs: number): void {
    for (const crash of reported) {
      if (crash.ageMs < this.retainForMs) this.mergeOne(crash, nowMs);
    }
    this.evictOld(nowMs);
  }

  /** The request has run to its end, so its crashes had another cause. */
  markFinished(fingerprint: Fingerprint): void {
    for (const crash of this.byFingerprint.get(fingerprint) ?? []) {
      if (crash.cleared.has(fingerprint)) continue;
      crash.cleared.add(fingerprint);
      this.changed.add(crash);
    }
  }

  /**
   * Decides how to treat a request that arrives.
   *
   * @example
   * const decision = table.classify(fingerprint, nowMs);
   * if (decision.kind === 'refuse') refuse('suspected_crash', decision);
   */
  classify(fingerprint: Fingerprint, nowMs: number): SuspectDecision {
    if (!this.byFingerprint.has(fingerprint)) return {kind: 'clear'};
    this.evictOld(nowMs);
    const crashes = this.suspectedCrashesOf(fingerprint);
    if (crashes.length === 0) return {kind: 'clear'};
    const lastAtMs = Math.max(...crashes.map(crash => crash.atMs));
    const retryAfterMs = lastAtMs + this.refuseForMs - nowMs;
    if (retryAfterMs > 0 && this.mustRefuse(fingerprint, crashes)) {
      return {kind: 'refuse', retryAfterMs};
    }
    return {kind: 'run_alone'};
  }

  /** Changes since the last call, for the next frame to other instances. */
  takeChanges(nowMs: number): ReportedCrash[] {
    this.evictOld(nowMs);
    const changes = [...this.changed].map(crash => report(crash, nowMs));
    this.changed.clear();
    return changes;
  }

  /** All stored crashes, for an instance that has just joined. */
  readAll(nowMs: number): ReportedCrash[] {
    this.evictOld(nowMs);
    return [...this.crashes.values()].map(crash => report(crash, nowMs));
  }

  private mergeOne(reported: ReportedCrash, nowMs: number): void {
    const atMs = nowMs - reported.ageMs;
    const crash = this.crashes.get(reported.id) ?? this.add(reported, atMs);
    // An age lacks the time in transit, so the earliest time is most accurate.
    crash.atMs = Math.min(crash.atMs, atMs);
    for (const fingerprint of reported.cleared) {
      if (crash.cleared.has(fingerprint)) continue;
      crash.cleared.add(fingerprint);
      this.changed.add(crash);
    }
  }

  private add(reported: ReportedCrash, atMs: number): Crash {
    const {id, endpoint, dataCentre, alone = false} = reported;
    const inFlight = new Set(reported.inFlight);
    const cleared = new Set<Fingerprint>();
    const crash = {id, endpoint, dataCentre, atMs, inFlight, alone, cleared};
    this.crashes.set(id, crash);
    this.changed.add(crash);
    for (const fingerprint of inFlight) {
      const known = this.byFingerprint.get(fingerprint) ?? new Set();
      this.byFingerprint.set(fingerprint, known.add(crash));
    }
    return crash;
  }

  /**
   * A request that was in at least two crashes is refused, unless each of them
   * also involved another request that was in at least two: then either may be
   * the cause, and both run alone until one finishes or crashes alone.
   */
  private mustRefuse(
    fingerprint: Fingerprint,
    crashes: readonly Crash[],
  ): boolean {
    if (countDistinct(crashes) < REFUSAL_CRASH_COUNT) return false;
    return crashes.some(crash =>
      this.requestsInFlightAt(crash).every(
        other =>
          other === fingerprint ||
          countDistinct(this.suspectedCrashesOf(other)) < REFUSAL_CRASH_COUNT,
      ),
    );
  }

  /**
   * All requests in flight when the endpoint crashed. One crash is reported in
   * pieces, by each instance and as each attempt breaks off; by the last piece
   * alone, the attempt that broke off last would seem to have run there alone.
   */
  private requestsInFlightAt(crash: Crash): Fingerprint[] {
    if (crash.alone) return [...crash.inFlight];
    const pieces = [...this.crashes.values()].filter(
      other =>
        !other.alone &&
        other.endpoint === crash.endpoint &&
        Math.abs(other.atMs - crash.atMs) <= SAME_CRASH_WINDOW_MS,
    );
    return pieces.flatMap(piece => [...piece.inFlight]);
  }

  private suspectedCrashesOf(fingerprint: Fingerprint): Crash[] {
    const crashes = this.byFingerprint.get(fingerprint);
    if (crashes === undefined) return [];
    return [...crashes].filter(
      crash =>
        !crash.cleared.has(fingerprint) && !this.isReclaim(crash, fingerprint),
    );
  }

  /**
   * A data centre's cheap endpoints are reclaimed together. If every request
   * that ran there had to run alone, nothing could be served just when
   * endpoints are short. Only a request that was at several of these endpoints
   * stays suspect.
   */
  private isReclaim(crash: Crash, fingerprint: Fingerprint): boolean {
    const others = [...this.crashes.values()].filter(
      other =>
        other.endpoint !== crash.endpoint &&
        other.dataCentre === crash.dataCentre &&
        Math.abs(other.atMs - crash.atMs) <= RECLAIM_WINDOW_MS,
    );
    const endpoints = new Set(others.map(other => other.endpoint));
    if (endpoints.size + 1 < RECLAIM_ENDPOINT_COUNT) return false;
    return !others.some(other => other.inFlight.has(fingerprint));
  }

  private evictOld(nowMs: number): void {
    const oldestFirst = [...this.crashes.values()];
    oldestFirst.sort((left, right) => left.atMs - right.atMs);
    const surplus = oldestFirst.length - this.maxCrashes;
    oldestFirst.forEach((crash, index) => {
      const isOld = nowMs - crash.atMs >= this.retainForMs;
      if (isOld || index < surplus) this.remove(crash);
    });
  }

  private remove(crash: Crash): void {
    this.crashes.delete(crash.id);
    this.changed.delete(crash);
    for (const fingerprint of crash.inFlight) {
      const known = this.byFingerprint.get(fingerprint);
      known?.delete(crash);
      if (known?.size === 0) this.byFingerprint.delete(fingerprint);
    }
  }
}

/** Counts crashes; one that several instances saw counts once. */
function countDistinct(crashes: readonly Crash[]): number {
  const inOrder = [...crashes].sort((left, right) => left.atMs - right.atMs);
  const lastAtMs = new Map<EndpointId, number>();
  let count = 0;
  for (const {endpoint, atMs, alone} of inOrder) {
    // No other request was there whose end could report the same crash, and the
    // endpoint may have come back so soon that this crash would otherwise be
    // taken for the previous one.
    if (alone) {
      count += 1;
      continue;
    }
    const last = lastAtMs.get(endpoint);
    if (last === undefined || atMs - last > SAME_CRASH_WINDOW_MS) count += 1;
    lastAtMs.set(endpoint, atMs);
  }
  return count;
}

function report(crash: Crash, nowMs: number): ReportedCrash {
  return {
    id: crash.id,
    endpoint: crash.endpoint,
    dataCentre: crash.dataCentre,
    ageMs: Math.max(0, nowMs - crash.atMs),
    inFlight: [...crash.inFlight],
    alone: crash.alone,
    cleared: [...crash.cleared],
  };
}
