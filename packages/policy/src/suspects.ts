/**
 * Requests that crash endpoints. Now and then one request takes down each
 * endpoint that runs it, and its caller sends it again; without a memory of it,
 * one caller empties a data centre. What was in flight at a crash is suspect
 * and runs alone, so that another crash hurts nobody else and tells who it was.
 *
 * Only crashes are kept, and everything else is worked out from them. Instances
 * tell each other their crashes; whatever the order, they judge alike.
 */

import type {
  DataCentreId,
  EndpointId,
  Fingerprint,
} from '@snipestage/types/ids.js';

/** A crash of an endpoint, as one instance saw it and tells others. */
export interface ReportedCrash {
  /** Unique: `<instance>/<incarnation>/<number>`. */
  readonly id: string;
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  /** An age instead of a time, since clocks differ between instances. */
  readonly ageMs: number;
  /** What that instance had in flight there. */
  readonly inFlight: readonly Fingerprint[];
  /** The one in flight had the endpoint to itself; false if absent. */
  readonly alone?: boolean;
  /** Those of them that have since finished at another endpoint. */
  readonly cleared: readonly Fingerprint[];
}

/** What is to be done with a request. */
export type SuspectJudgement =
  | {readonly kind: 'clear'}
  /** Needs an endpoint to itself, and is never hedged. */
  | {readonly kind: 'run_alone'}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** What a {@link SuspectTable} is made from; defaults in the brackets. */
export interface SuspectTableOptions {
  /** How long after its last crash a request is refused (10 minutes). */
  readonly refuseForMs?: number;
  /** How long a crash is remembered (20 minutes). */
  readonly rememberForMs?: number;
  /** The oldest crashes beyond this number are forgotten (256). */
  readonly maxCrashes?: number;
}

const MINUTE_MS = 60_000;
const DEFAULT_REFUSE_FOR_MS = 10 * MINUTE_MS;
const DEFAULT_REMEMBER_FOR_MS = 20 * MINUTE_MS;
const DEFAULT_MAX_CRASHES = 256;
const CRASHES_UNTIL_REFUSAL = 2;
/** Several instances see one crash of an endpoint about together. */
const SAME_CRASH_MS = 5000;
/** So many endpoints of a data centre lost about together were reclaimed. */
const RECLAIM_SIZE = 3;
const RECLAIM_MS = 5000;

interface Crash {
  readonly id: string;
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  atMs: number;
  readonly inFlight: ReadonlySet<Fingerprint>;
  readonly alone: boolean;
  readonly cleared: Set<Fingerprint>;
}

/** Times are milliseconds of one clock that does not go back. */
export class SuspectTable {
  private readonly crashes = new Map<string, Crash>();
  private readonly byFingerprint = new Map<Fingerprint, Set<Crash>>();
  private readonly changed = new Set<Crash>();
  private readonly refuseForMs: number;
  private readonly rememberForMs: number;
  private readonly maxCrashes: number;

  constructor(options: SuspectTableOptions = {}) {
    this.refuseForMs = options.refuseForMs ?? DEFAULT_REFUSE_FOR_MS;
    this.rememberForMs = options.rememberForMs ?? DEFAULT_REMEMBER_FOR_MS;
    this.maxCrashes = options.maxCrashes ?? DEFAULT_MAX_CRASHES;
  }

  /** Crashes remembered. */
  get size(): number {
    return this.crashes.size;
  }

  /**
   * Takes in a crash that was seen here or that another instance told; the same
   * one twice does no harm.
   *
   * @example
   * table.merge([{id, endpoint, dataCentre, ageMs: 0, inFlight, cleared: []}], nowMs);
   */
  merge(reported: readonly ReportedCrash[], nowMs: number): void {
    for (const crash of reported) {
      if (crash.ageMs < this.rememberForMs) this.mergeOne(crash, nowMs);
    }
    this.forget(nowMs);
  }

  /** The request has run to its end, so it was another that crashed. */
  finish(fingerprint: Fingerprint): void {
    for (const crash of this.byFingerprint.get(fingerprint) ?? []) {
      if (crash.cleared.has(fingerprint)) continue;
      crash.cleared.add(fingerprint);
      this.changed.add(crash);
    }
  }

  /**
   * What to do with a request that arrives.
   *
   * @example
   * const judgement = table.judge(fingerprint, nowMs);
   * if (judgement.kind === 'refuse') refuse('suspected_crash', judgement);
   */
  judge(fingerprint: Fingerprint, nowMs: number): SuspectJudgement {
    if (!this.byFingerprint.has(fingerprint)) return {kind: 'clear'};
    this.forget(nowMs);
    const crashes = this.crashesHeldAgainst(fingerprint);
    if (crashes.length === 0) return {kind: 'clear'};
    const lastAtMs = Math.max(...crashes.map(crash => crash.atMs));
    const retryAfterMs = lastAtMs + this.refuseForMs - nowMs;
    if (retryAfterMs > 0 && this.isBlamed(fingerprint, crashes)) {
      return {kind: 'refuse', retryAfterMs};
    }
    return {kind: 'run_alone'};
  }

  /** What is new since the last call, for the next frame to other instances. */
  takeChanges(nowMs: number): ReportedCrash[] {
    this.forget(nowMs);
    const changes = [...this.changed].map(crash => report(crash, nowMs));
    this.changed.clear();
    return changes;
  }

  /** All that is remembered, for an instance that has just joined. */
  readAll(nowMs: number): ReportedCrash[] {
    this.forget(nowMs);
    return [...this.crashes.values()].map(crash => report(crash, nowMs));
  }

  private mergeOne(reported: ReportedCrash, nowMs: number): void {
    const atMs = nowMs - reported.ageMs;
    const crash = this.crashes.get(reported.id) ?? this.add(reported, atMs);
    // Ages only lack the time on the way, so that the oldest is nearest.
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
   * Refused is who has been in two crashes, unless another who has been in two
   * was in all of them as well: then either may be it, and both run alone until
   * one finishes or crashes by itself.
   */
  private isBlamed(
    fingerprint: Fingerprint,
    crashes: readonly Crash[],
  ): boolean {
    if (countDistinct(crashes) < CRASHES_UNTIL_REFUSAL) return false;
    return crashes.some(crash =>
      this.companyAt(crash).every(
        other =>
          other === fingerprint ||
          countDistinct(this.crashesHeldAgainst(other)) < CRASHES_UNTIL_REFUSAL,
      ),
    );
  }

  /**
   * All that was in flight when the endpoint crashed. One crash is reported in
   * pieces, by each instance and as each attempt breaks off; by the last piece
   * alone, whoever broke off last would seem to have run there alone.
   */
  private companyAt(crash: Crash): Fingerprint[] {
    if (crash.alone) return [...crash.inFlight];
    const pieces = [...this.crashes.values()].filter(
      other =>
        !other.alone &&
        other.endpoint === crash.endpoint &&
        Math.abs(other.atMs - crash.atMs) <= SAME_CRASH_MS,
    );
    return pieces.flatMap(piece => [...piece.inFlight]);
  }

  private crashesHeldAgainst(fingerprint: Fingerprint): Crash[] {
    const crashes = this.byFingerprint.get(fingerprint);
    if (crashes === undefined) return [];
    return [...crashes].filter(
      crash =>
        !crash.cleared.has(fingerprint) && !this.isReclaim(crash, fingerprint),
    );
  }

  /**
   * A data centre's cheap endpoints vanish together. Everything that ran there
   * would have to run alone, and nothing could be served just when endpoints
   * are short. Only who was at several of these endpoints stays suspect.
   */
  private isReclaim(crash: Crash, fingerprint: Fingerprint): boolean {
    const others = [...this.crashes.values()].filter(
      other =>
        other.endpoint !== crash.endpoint &&
        other.dataCentre === crash.dataCentre &&
        Math.abs(other.atMs - crash.atMs) <= RECLAIM_MS,
    );
    const endpoints = new Set(others.map(other => other.endpoint));
    if (endpoints.size + 1 < RECLAIM_SIZE) return false;
    return !others.some(other => other.inFlight.has(fingerprint));
  }

  private forget(nowMs: number): void {
    const oldestFirst = [...this.crashes.values()];
    oldestFirst.sort((left, right) => left.atMs - right.atMs);
    const surplus = oldestFirst.length - this.maxCrashes;
    oldestFirst.forEach((crash, index) => {
      const isOld = nowMs - crash.atMs >= this.rememberForMs;
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

/** Crashes, with those that several instances saw of one endpoint as one. */
function countDistinct(crashes: readonly Crash[]): number {
  const inOrder = [...crashes].sort((left, right) => left.atMs - right.atMs);
  const lastAtMs = new Map<EndpointId, number>();
  let count = 0;
  for (const {endpoint, atMs, alone} of inOrder) {
    // Nobody else was there to report it too; and the endpoint may have come
    // back so soon that this crash would else be taken for the one before.
    if (alone) {
      count += 1;
      continue;
    }
    const last = lastAtMs.get(endpoint);
    if (last === undefined || atMs - last > SAME_CRASH_MS) count += 1;
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
