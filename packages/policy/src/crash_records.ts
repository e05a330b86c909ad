/** Stores the crashes that instances report to each other. */

import type {
  DataCentreId,
  EndpointId,
  Fingerprint,
  PromptPartId,
} from '@snipestage/types/ids.js';
import {CrashIndex} from './crash_index.js';

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
  /**
   * Parts of prompts whose answers hadn't got beyond their first event; none if
   * absent.
   */
  readonly parts?: readonly PromptPartId[];
  /** The request in flight ran alone at the endpoint; false if absent. */
  readonly alone?: boolean;
  /**
   * Whether the endpoint was found to be down; true if absent. Otherwise only
   * answers broke off, which a network may have lost.
   */
  readonly isConfirmed?: boolean;
  /** Those of the requests that have since finished. */
  readonly cleared: readonly Fingerprint[];
  /** Those of the parts with which an answer has begun since; none if absent. */
  readonly clearedParts?: readonly PromptPartId[];
  /** Those of the parts with which answers had begun before; none if absent. */
  readonly provenParts?: readonly PromptPartId[];
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
  readonly parts: ReadonlySet<PromptPartId>;
  readonly alone: boolean;
  readonly isConfirmed: boolean;
  readonly cleared: ReadonlySet<Fingerprint>;
  readonly clearedParts: ReadonlySet<PromptPartId>;
  readonly provenParts: ReadonlySet<PromptPartId>;
}

interface StoredCrash extends CrashRecord {
  atMs: number;
  isConfirmed: boolean;
  readonly inFlight: Set<Fingerprint>;
  readonly parts: Set<PromptPartId>;
  readonly cleared: Set<Fingerprint>;
  readonly clearedParts: Set<PromptPartId>;
  readonly provenParts: Set<PromptPartId>;
}

const MINUTE_MS = 60_000;
const DEFAULT_RETAIN_FOR_MS = 20 * MINUTE_MS;
const DEFAULT_CONFIRM_WITHIN_MS = 10_000;
const DEFAULT_MAX_CRASHES = 256;
/**
 * Share of the stored crashes that may be unconfirmed: a quarter, so that
 * answers that break off in masses leave room for confirmed crashes.
 */
const MAX_UNCONFIRMED_SHARE = 1 / 4;
/** Bounds a crash's row, whatever number of parts a caller makes up. */
const MAX_PARTS_OF_CRASH = 256;

/**
 * Merges reports so that instances store the same crashes in whatever order
 * these arrive.
 */
export class CrashRecords {
  private readonly crashes = new Map<string, StoredCrash>();
  private readonly byFingerprint = new CrashIndex<Fingerprint, StoredCrash>();
  private readonly byPart = new CrashIndex<PromptPartId, StoredCrash>();
  private readonly changed = new Set<StoredCrash>();
  private readonly retainForMs: number;
  private readonly confirmWithinMs: number;
  private readonly maxCrashes: number;
  private changes = 0;

  constructor(options: CrashRecordsOptions = {}) {
    this.retainForMs = options.retainForMs ?? DEFAULT_RETAIN_FOR_MS;
    this.confirmWithinMs = options.confirmWithinMs ?? DEFAULT_CONFIRM_WITHIN_MS;
    this.maxCrashes = options.maxCrashes ?? DEFAULT_MAX_CRASHES;
  }

  get size(): number {
    return this.crashes.size;
  }

  /** Differs after each change; lets callers cache what they work out. */
  get revision(): number {
    return this.changes;
  }

  has(id: string): boolean {
    return this.crashes.has(id);
  }

  all(): readonly CrashRecord[] {
    return [...this.crashes.values()];
  }

  /** Crashes with a request in flight, those that it is cleared of included. */
  listCrashesOf(fingerprint: Fingerprint): readonly CrashRecord[] {
    return this.byFingerprint.list(fingerprint);
  }

  /** Whether a part of a prompt was in any stored crash. */
  hasCrashesOfPart(part: PromptPartId): boolean {
    return this.byPart.count(part) > 0;
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
    for (const part of reported.parts ?? []) this.addPart(crash, part);
    for (const fingerprint of reported.cleared) {
      this.clearOf(crash, fingerprint);
    }
    for (const part of reported.clearedParts ?? []) {
      this.clearPartOf(crash, part);
    }
    for (const part of reported.provenParts ?? []) this.prove(crash, part);
    if (reported.isConfirmed ?? true) this.confirm(crash);
    return (
      crash.inFlight.size > reported.inFlight.length ||
      crash.cleared.size > reported.cleared.length ||
      crash.parts.size > (reported.parts ?? []).length ||
      crash.clearedParts.size > (reported.clearedParts ?? []).length ||
      crash.provenParts.size > (reported.provenParts ?? []).length ||
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
    for (const crash of this.byFingerprint.list(fingerprint)) {
      this.clearOf(crash, fingerprint);
    }
  }

  /** Clears a part of a prompt of all stored crashes up to a time. */
  clearPart(part: PromptPartId, untilMs: number): void {
    for (const crash of this.byPart.list(part)) {
      if (crash.atMs <= untilMs) this.clearPartOf(crash, part);
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
   * Evicts old crashes, and beyond the maximum the least useful ones first: the
   * oldest of those that aren't confirmed while these are over a quarter, then
   * those without a request or part that was in several. If all that aren't
   * confirmed went first, a full table could never confirm another crash.
   */
  evict(nowMs: number): void {
    for (const crash of this.crashes.values()) {
      if (this.isExpired(crash, nowMs)) this.remove(crash);
    }
    const surplus = this.crashes.size - this.maxCrashes;
    if (surplus <= 0) return;
    const all = [...this.crashes.values()];
    const unconfirmed = all.filter(each => !each.isConfirmed).sort(byAge);
    const excess =
      unconfirmed.length - Math.floor(this.maxCrashes * MAX_UNCONFIRMED_SHARE);
    const first = unconfirmed.slice(0, Math.min(Math.max(0, excess), surplus));
    for (const crash of first) this.remove(crash);
    this.removeLeastUseful(surplus - first.length);
  }

  private removeLeastUseful(count: number): void {
    const ranked = [...this.crashes.values()]
      .filter(({isConfirmed}) => isConfirmed)
      .map(crash => ({crash, weight: this.weigh(crash)}));
    ranked.sort(
      (left, right) =>
        left.weight - right.weight || byAge(left.crash, right.crash),
    );
    for (const {crash} of ranked.slice(0, count)) this.remove(crash);
  }

  private isExpired(crash: StoredCrash, nowMs: number): boolean {
    const limitMs = crash.isConfirmed ? this.retainForMs : this.confirmWithinMs;
    return nowMs - crash.atMs >= limitMs;
  }

  private weigh(crash: StoredCrash): number {
    const isRepeated =
      [...crash.inFlight].some(each => this.byFingerprint.count(each) > 1) ||
      [...crash.parts].some(
        each => !crash.clearedParts.has(each) && this.byPart.count(each) > 1,
      );
    return isRepeated ? 1 : 0;
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
      parts: new Set(),
      alone: reported.alone ?? false,
      isConfirmed: reported.isConfirmed ?? true,
      cleared: new Set(),
      clearedParts: new Set(),
      provenParts: new Set(),
    };
    this.crashes.set(crash.id, crash);
    this.noteChange(crash);
    return crash;
  }

  private addInFlight(crash: StoredCrash, fingerprint: Fingerprint): void {
    crash.inFlight.add(fingerprint);
    this.byFingerprint.add(fingerprint, crash);
    this.noteChange(crash);
  }

  private addPart(crash: StoredCrash, part: PromptPartId): void {
    const isFull = crash.parts.size >= MAX_PARTS_OF_CRASH;
    if (isFull || crash.parts.has(part)) return;
    crash.parts.add(part);
    this.byPart.add(part, crash);
    this.noteChange(crash);
  }

  private clearOf(crash: StoredCrash, fingerprint: Fingerprint): void {
    if (crash.cleared.has(fingerprint)) return;
    crash.cleared.add(fingerprint);
    this.noteChange(crash);
  }

  private clearPartOf(crash: StoredCrash, part: PromptPartId): void {
    if (!crash.parts.has(part) || crash.clearedParts.has(part)) return;
    crash.clearedParts.add(part);
    this.noteChange(crash);
  }

  private prove(crash: StoredCrash, part: PromptPartId): void {
    if (!crash.parts.has(part) || crash.provenParts.has(part)) return;
    crash.provenParts.add(part);
    this.noteChange(crash);
  }

  private confirm(crash: StoredCrash): void {
    if (crash.isConfirmed) return;
    crash.isConfirmed = true;
    this.noteChange(crash);
  }

  private noteChange(crash: StoredCrash): void {
    this.changed.add(crash);
    this.changes += 1;
  }

  private remove(crash: StoredCrash): void {
    this.crashes.delete(crash.id);
    this.changed.delete(crash);
    this.changes += 1;
    for (const fingerprint of crash.inFlight) {
      this.byFingerprint.remove(fingerprint, crash);
    }
    for (const part of crash.parts) this.byPart.remove(part, crash);
  }
}

function byAge(left: CrashRecord, right: CrashRecord): number {
  return left.atMs - right.atMs;
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
    ...(crash.parts.size === 0 ? {} : partsOf(crash)),
  };
}

function partsOf({
  parts,
  clearedParts,
  provenParts,
}: CrashRecord): Pick<ReportedCrash, 'parts' | 'clearedParts' | 'provenParts'> {
  return {
    parts: [...parts],
    clearedParts: [...clearedParts],
    provenParts: [...provenParts],
  };
}
