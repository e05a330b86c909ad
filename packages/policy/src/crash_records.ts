/** Stores the crashes that instances report to each other. */

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
  /** Distinguishes starts of an endpoint under one id; absent if unknown. */
  readonly endpointIncarnation?: number;
  readonly dataCentre: DataCentreId;
  /** An age instead of a time, since clocks differ between instances. */
  readonly ageMs: number;
  /** Requests that this instance had in flight there. */
  readonly inFlight: readonly Fingerprint[];
  /** The request in flight ran alone at the endpoint; false if absent. */
  readonly alone?: boolean;
  /**
   * Whether the endpoint was found to be down; true if absent. Otherwise only
   * answers broke off, which a network may have lost.
   */
  readonly isConfirmed?: boolean;
  /** Those of the requests that have since finished. */
  readonly cleared: readonly Fingerprint[];
}

/** Options of {@link CrashRecords}; defaults in brackets. */
export interface CrashRecordsOptions {
  /** How long a crash is stored (20 minutes). */
  readonly retainForMs?: number;
  /** How long a crash that isn't confirmed is stored (10 seconds). */
  readonly confirmWithinMs?: number;
  /** The number of stored crashes beyond which some are evicted (256). */
  readonly maxCrashes?: number;
}

/** A stored crash; times are milliseconds of this instance's clock. */
export interface CrashRecord {
  readonly id: string;
  readonly endpoint: EndpointId;
  readonly endpointIncarnation: number | undefined;
  readonly dataCentre: DataCentreId;
  readonly atMs: number;
  readonly inFlight: ReadonlySet<Fingerprint>;
  readonly alone: boolean;
  readonly isConfirmed: boolean;
  readonly cleared: ReadonlySet<Fingerprint>;
}

interface StoredCrash extends CrashRecord {
  atMs: number;
  isConfirmed: boolean;
  readonly inFlight: Set<Fingerprint>;
  readonly cleared: Set<Fingerprint>;
}

const MINUTE_MS = 60_000;
const DEFAULT_RETAIN_FOR_MS = 20 * MINUTE_MS;
const DEFAULT_CONFIRM_WITHIN_MS = 10_000;
const DEFAULT_MAX_CRASHES = 256;

/**
 * Merges reports so that instances store the same crashes in whatever order
 * these arrive.
 */
export class CrashRecords {
  private readonly crashes = new Map<string, StoredCrash>();
  private readonly byFingerprint = new Map<Fingerprint, Set<StoredCrash>>();
  private readonly changed = new Set<StoredCrash>();
  private readonly retainForMs: number;
  private readonly confirmWithinMs: number;
  private readonly maxCrashes: number;

  constructor(options: CrashRecordsOptions = {}) {
    this.retainForMs = options.retainForMs ?? DEFAULT_RETAIN_FOR_MS;
    this.confirmWithinMs = options.confirmWithinMs ?? DEFAULT_CONFIRM_WITHIN_MS;
    this.maxCrashes = options.maxCrashes ?? DEFAULT_MAX_CRASHES;
  }

  get size(): number {
    return this.crashes.size;
  }

  has(id: string): boolean {
    return this.crashes.has(id);
  }

  all(): readonly CrashRecord[] {
    return [...this.crashes.values()];
  }

  /** Crashes with a request in flight, those that it is cleared of included. */
  listCrashesOf(fingerprint: Fingerprint): readonly CrashRecord[] {
    return [...(this.byFingerprint.get(fingerprint) ?? [])];
  }

  /**
   * Merges a report; merging it again has no effect.
   *
   * @returns whether more is stored of the crash than the report says.
   * @example
   * records.merge({id, endpoint, dataCentre, ageMs: 0, inFlight, cleared: []}, nowMs);
   */
  merge(reported: ReportedCrash, nowMs: number): boolean {
    const atMs = nowMs - reported.ageMs;
    const isOld = reported.ageMs >= this.retainForMs;
    const known = this.crashes.get(reported.id);
    if (isOld && known === undefined) return false;
    const crash = known ?? this.add(reported, atMs);
    // An age lacks the time in transit, so the earliest time is most accurate.
    crash.atMs = Math.min(crash.atMs, atMs);
    for (const fingerprint of reported.inFlight) {
      if (!crash.inFlight.has(fingerprint))
        this.addInFlight(crash, fingerprint);
    }
    for (const fingerprint of reported.cleared) {
      this.clearOf(crash, fingerprint);
    }
    if (reported.isConfirmed ?? true) this.confirm(crash);
    return (
      crash.inFlight.size > reported.inFlight.length ||
      crash.cleared.size > reported.cleared.length ||
      (crash.isConfirmed && reported.isConfirmed === false)
    );
  }

  /** Marks a crash as known to others. */
  markPublished(id: string): void {
    const crash = this.crashes.get(id);
    if (crash !== undefined) this.changed.delete(crash);
  }

  /** Whether a crash has changes that {@link takeChanges} hasn't returned. */
  hasChanges(id: string): boolean {
    const crash = this.crashes.get(id);
    return crash !== undefined && this.changed.has(crash);
  }

  /** Clears a request of all stored crashes. */
  clear(fingerprint: Fingerprint): void {
    for (const crash of this.byFingerprint.get(fingerprint) ?? []) {
      this.clearOf(crash, fingerprint);
    }
  }

  /** Confirms all crashes of an endpoint that aren't confirmed yet. */
  confirmAll(endpoint: EndpointId): readonly CrashRecord[] {
    const found = this.listUnconfirmed(endpoint);
    for (const crash of found) this.confirm(crash);
    return found;
  }

  /** Removes crashes of an endpoint that answers requests sent after them. */
  refute(endpoint: EndpointId, sentAtMs: number): void {
    for (const crash of this.listUnconfirmed(endpoint)) {
      if (crash.atMs <= sentAtMs) this.remove(crash);
    }
  }

  hasUnconfirmed(endpoint: EndpointId): boolean {
    return this.listUnconfirmed(endpoint).length > 0;
  }

  /** Changes since the last call, for the next message to other instances. */
  takeChanges(nowMs: number): ReportedCrash[] {
    const changes = [...this.changed].map(crash => report(crash, nowMs));
    this.changed.clear();
    return changes;
  }

  readAll(nowMs: number): ReportedCrash[] {
    return [...this.crashes.values()].map(crash => report(crash, nowMs));
  }

  /**
   * Evicts old crashes, and beyond the maximum the least useful ones first: those
   * that aren't confirmed, then those without a request that was in several.
   */
  evict(nowMs: number): void {
    for (const crash of this.crashes.values()) {
      if (this.isExpired(crash, nowMs)) this.remove(crash);
    }
    const surplus = this.crashes.size - this.maxCrashes;
    if (surplus <= 0) return;
    const ranked = [...this.crashes.values()].map(crash => ({
      crash,
      weight: this.weigh(crash),
    }));
    ranked.sort(
      (left, right) =>
        left.weight - right.weight || left.crash.atMs - right.crash.atMs,
    );
    for (const {crash} of ranked.slice(0, surplus)) this.remove(crash);
  }

  private isExpired(crash: StoredCrash, nowMs: number): boolean {
    const limitMs = crash.isConfirmed ? this.retainForMs : this.confirmWithinMs;
    return nowMs - crash.atMs >= limitMs;
  }

  private weigh(crash: StoredCrash): number {
    if (!crash.isConfirmed) return 0;
    const isRepeated = [...crash.inFlight].some(
      fingerprint => (this.byFingerprint.get(fingerprint)?.size ?? 0) > 1,
    );
    return isRepeated ? 2 : 1;
  }

  private listUnconfirmed(endpoint: EndpointId): StoredCrash[] {
    return [...this.crashes.values()].filter(
      crash => crash.endpoint === endpoint && !crash.isConfirmed,
    );
  }

  private add(reported: ReportedCrash, atMs: number): StoredCrash {
    const crash: StoredCrash = {
      id: reported.id,
      endpoint: reported.endpoint,
      endpointIncarnation: reported.endpointIncarnation,
      dataCentre: reported.dataCentre,
      atMs,
      inFlight: new Set(),
      alone: reported.alone ?? false,
      isConfirmed: reported.isConfirmed ?? true,
      cleared: new Set(),
    };
    this.crashes.set(crash.id, crash);
    this.changed.add(crash);
    return crash;
  }

  private addInFlight(crash: StoredCrash, fingerprint: Fingerprint): void {
    crash.inFlight.add(fingerprint);
    const known = this.byFingerprint.get(fingerprint) ?? new Set();
    this.byFingerprint.set(fingerprint, known.add(crash));
    this.changed.add(crash);
  }

  private clearOf(crash: StoredCrash, fingerprint: Fingerprint): void {
    if (crash.cleared.has(fingerprint)) return;
    crash.cleared.add(fingerprint);
    this.changed.add(crash);
  }

  private confirm(crash: StoredCrash): void {
    if (crash.isConfirmed) return;
    crash.isConfirmed = true;
    this.changed.add(crash);
  }

  private remove(crash: StoredCrash): void {
    this.crashes.delete(crash.id);
    this.changed.delete(crash);
    for (const fingerprint of crash.inFlight) {
      const known = this.byFingerprint.get(fingerprint);
      known?.delete(crash);
      if (known?.size === 0) this.byFingerprint.delete(fingerprint);
    }
  }
}

function report(crash: CrashRecord, nowMs: number): ReportedCrash {
  return {
    id: crash.id,
    endpoint: crash.endpoint,
    endpointIncarnation: crash.endpointIncarnation,
    dataCentre: crash.dataCentre,
    ageMs: Math.max(0, nowMs - crash.atMs),
    inFlight: [...crash.inFlight],
    alone: crash.alone,
    isConfirmed: crash.isConfirmed,
    cleared: [...crash.cleared],
  };
}
