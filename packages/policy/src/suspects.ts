/**
 * Tracks requests that may crash endpoints. Occasionally a request crashes each
 * endpoint that runs it, and its caller sends it again; without a record of it,
 * one caller can take down all endpoints of a data centre. Requests in flight
 * at a crash are suspect and run alone, so that another crash affects no other
 * request and identifies the cause.
 *
 * An answer that breaks off is a crash only once the endpoint is found to be
 * down: networks lose answers of healthy endpoints too. Instances send each
 * other their crashes, and decide alike in whatever order these arrive.
 */

import type {
  DataCentreId,
  EndpointId,
  Fingerprint,
  PromptPartId,
} from '@snipestage/types/ids.js';
import {
  countDistinct,
  isConfirmed,
  SAME_CRASH_WINDOW_MS,
} from './crash_count.js';
import {
  CrashRecords,
  type CrashRecord,
  type CrashRecordsOptions,
  type ReportedCrash,
} from './crash_records.js';
import {PartSuspects} from './part_suspects.js';

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
  /** Those of them in which the endpoint was found to be down. */
  readonly confirmed: number;
}

/** Answers of an endpoint that broke off. */
export interface BrokenRuns {
  /** Unique over all instances; used if the crash isn't stored yet. */
  readonly newId: () => string;
  readonly endpoint: EndpointId;
  readonly endpointIncarnation?: number;
  readonly dataCentre: DataCentreId;
  readonly inFlight: readonly Fingerprint[];
  /** Parts of prompts whose answers hadn't got beyond their first event. */
  readonly parts?: readonly PromptPartId[];
  readonly alone?: boolean;
}

/** Options of a {@link SuspectTable}; defaults in brackets. */
export interface SuspectTableOptions extends CrashRecordsOptions {
  /** How long after its last crash a request is refused (10 minutes). */
  readonly refuseForMs?: number;
}

const DEFAULT_REFUSE_FOR_MS = 600_000;
/** Crashes after which a request is refused if it alone can be the cause. */
const SOLE_SUSPECT_CRASH_COUNT = 2;
/** Crashes after which a request is refused whatever else was in flight. */
const MAX_CRASH_COUNT = 3;
/**
 * At least this many endpoints of a data centre that crash within
 * {@link RECLAIM_WINDOW_MS} count as reclaimed.
 */
const RECLAIM_ENDPOINT_COUNT = 3;
const RECLAIM_WINDOW_MS = 5000;
/** How long a request that has run to its end is known not to crash endpoints. */
const REMEMBER_FINISHED_MS = 10_000;

/**
 * Stores recent crashes and decides on requests by them. Times are milliseconds
 * of one monotonic clock.
 */
export class SuspectTable {
  /** Parts of prompts that different requests share. */
  readonly parts: PartSuspects;
  private readonly records: CrashRecords;
  /** When requests last finished, oldest first. */
  private readonly finishedAtMs = new Map<Fingerprint, number>();
  private readonly refuseForMs: number;

  constructor(options: SuspectTableOptions = {}) {
    this.records = new CrashRecords(options);
    this.parts = new PartSuspects(this.records, options);
    this.refuseForMs = options.refuseForMs ?? DEFAULT_REFUSE_FOR_MS;
  }

  /** Number of stored crashes. */
  get size(): number {
    return this.records.size;
  }

  /** Whether a crash is stored already. */
  has(id: string): boolean {
    return this.records.has(id);
  }

  /**
   * What is known of a request's crashes; undefined when there were none.
   *
   * @example
   * logger.info('suspect_classified', {...table.describe(fingerprint)});
   */
  describe(fingerprint: Fingerprint): SuspectHistory | undefined {
    const all = this.records.listCrashesOf(fingerprint);
    if (all.length === 0) return undefined;
    const open = this.listOpenCrashesOf(fingerprint);
    const reclaims = open.filter(crash => this.isReclaim(crash, fingerprint));
    return {
      reports: all.length,
      crashes: countDistinct(open),
      reclaims: countDistinct(reclaims),
      confirmed: countDistinct(open.filter(isConfirmed)),
    };
  }

  /**
   * Merges crashes; merging a crash again has no effect.
   *
   * @example
   * table.merge([{id, endpoint, dataCentre, ageMs: 0, inFlight, cleared: []}], nowMs);
   */
  merge(reported: readonly ReportedCrash[], nowMs: number): void {
    for (const crash of reported) this.mergeOne(crash, nowMs);
    this.records.evict(nowMs);
  }

  /**
   * Merges crashes that another instance published. Only what is known here
   * beyond its reports is published again.
   */
  mergePublished(reported: readonly ReportedCrash[], nowMs: number): void {
    for (const crash of reported) {
      const hadChanges = this.records.hasChanges(crash.id);
      const knowsMore = this.mergeOne(crash, nowMs);
      if (!hadChanges && !knowsMore) this.records.markPublished(crash.id);
    }
    this.records.evict(nowMs);
  }

  /**
   * Records answers that broke off. They count as one crash with those of the
   * same endpoint before, unless it has restarted.
   *
   * @example
   * table.noteBroken({newId, endpoint, dataCentre, inFlight: [fingerprint]}, nowMs);
   */
  noteBroken({newId, ...runs}: BrokenRuns, nowMs: number): void {
    const known = runs.alone ? undefined : this.findCurrent(runs, nowMs);
    const report = {
      ...runs,
      id: known?.id ?? newId(),
      ageMs: known === undefined ? 0 : nowMs - known.atMs,
      isConfirmed: known?.isConfirmed ?? false,
      cleared: [],
    };
    this.merge([report], nowMs);
  }

  /** An endpoint answered a request that was sent at this time. */
  noteAnswered(endpoint: EndpointId, sentAtMs: number): void {
    this.records.refute(endpoint, sentAtMs);
  }

  /**
   * The endpoint was found to be down, restarted or replaced: answers of it
   * that broke off shortly before were crashes.
   *
   * @returns the crashes that are confirmed by it.
   * @example
   * const crashes = table.noteDown(endpoint.id, nowMs);
   */
  noteDown(endpoint: EndpointId, nowMs: number): readonly CrashRecord[] {
    this.records.evict(nowMs);
    return this.records.confirmAll(endpoint);
  }

  /** Whether answers of an endpoint broke off and it may have crashed. */
  mayHaveCrashed(endpoint: EndpointId, nowMs: number): boolean {
    this.records.evict(nowMs);
    return this.records.hasUnconfirmed(endpoint);
  }

  /** The request has run to its end, so its crashes had another cause. */
  markFinished(fingerprint: Fingerprint, nowMs: number): void {
    this.records.clear(fingerprint);
    this.finishedAtMs.delete(fingerprint);
    this.finishedAtMs.set(fingerprint, nowMs);
    for (const [oldest, atMs] of this.finishedAtMs) {
      if (nowMs - atMs < REMEMBER_FINISHED_MS) break;
      this.finishedAtMs.delete(oldest);
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
    if (this.records.listCrashesOf(fingerprint).length === 0) {
      return {kind: 'clear'};
    }
    this.records.evict(nowMs);
    const crashes = this.listOpenCrashesOf(fingerprint);
    if (crashes.length === 0) return {kind: 'clear'};
    const lastAtMs = Math.max(...crashes.map(crash => crash.atMs));
    const retryAfterMs = lastAtMs + this.refuseForMs - nowMs;
    if (retryAfterMs > 0 && this.mustRefuse(fingerprint, crashes)) {
      return {kind: 'refuse', retryAfterMs};
    }
    const suspected = this.listSuspectedCrashesOf(fingerprint);
    return {kind: suspected.length > 0 ? 'run_alone' : 'clear'};
  }

  /** Changes since the last call, for the next frame to other instances. */
  takeChanges(nowMs: number): ReportedCrash[] {
    this.records.evict(nowMs);
    return this.records.takeChanges(nowMs);
  }

  /** All stored crashes, for an instance that has just joined. */
  readAll(nowMs: number): ReportedCrash[] {
    this.records.evict(nowMs);
    return this.records.readAll(nowMs);
  }

  private mergeOne(crash: ReportedCrash, nowMs: number): boolean {
    const cleared = crash.inFlight.filter(
      fingerprint =>
        !crash.cleared.includes(fingerprint) &&
        this.hasJustFinished(fingerprint, nowMs - crash.ageMs),
    );
    const clearedParts = this.parts
      .findBegunSince(crash.parts ?? [], nowMs - crash.ageMs)
      .filter(part => !crash.clearedParts?.includes(part));
    const known = {
      ...crash,
      cleared: [...crash.cleared, ...cleared],
      clearedParts: [...(crash.clearedParts ?? []), ...clearedParts],
      provenParts: [
        ...(crash.provenParts ?? []),
        ...this.parts.findProven(crash.parts ?? []),
      ],
    };
    const knowsMore = this.records.merge(known, nowMs);
    return knowsMore || cleared.length > 0 || clearedParts.length > 0;
  }

  private hasJustFinished(fingerprint: Fingerprint, atMs: number): boolean {
    const finishedAtMs = this.finishedAtMs.get(fingerprint);
    if (finishedAtMs === undefined) return false;
    return atMs - finishedAtMs < REMEMBER_FINISHED_MS;
  }

  /** The stored crash that broken answers belong to. */
  private findCurrent(
    {endpoint, endpointIncarnation}: Omit<BrokenRuns, 'newId'>,
    nowMs: number,
  ): CrashRecord | undefined {
    return this.records
      .all()
      .find(
        crash =>
          crash.endpoint === endpoint &&
          crash.endpointIncarnation === endpointIncarnation &&
          !crash.alone &&
          (endpointIncarnation !== undefined ||
            nowMs - crash.atMs <= SAME_CRASH_WINDOW_MS),
      );
  }

  /**
   * A request is refused after three crashes, and after two unless each of them
   * also involved another request that was in at least two: then either may be
   * the cause, and both run alone until one finishes or crashes alone. Answers
   * that were merely lost don't suffice.
   */
  private mustRefuse(
    fingerprint: Fingerprint,
    crashes: readonly CrashRecord[],
  ): boolean {
    const confirmed = crashes.filter(isConfirmed);
    const isRepeated = countDistinct(confirmed) >= SOLE_SUSPECT_CRASH_COUNT;
    if (isRepeated && countDistinct(crashes) >= MAX_CRASH_COUNT) return true;
    const suspected = this.listSuspectedCrashesOf(fingerprint);
    if (countDistinct(suspected) < SOLE_SUSPECT_CRASH_COUNT) return false;
    return suspected
      .filter(isConfirmed)
      .some(crash =>
        this.requestsInFlightAt(crash).every(
          other => other === fingerprint || !this.isRepeatedSuspect(other),
        ),
      );
  }

  private isRepeatedSuspect(fingerprint: Fingerprint): boolean {
    const suspected = this.listSuspectedCrashesOf(fingerprint);
    return countDistinct(suspected) >= SOLE_SUSPECT_CRASH_COUNT;
  }

  /**
   * All requests in flight when the endpoint crashed. One crash is reported in
   * pieces, by each instance and as each attempt breaks off; by the last piece
   * alone, the attempt that broke off last would seem to have run there alone.
   */
  private requestsInFlightAt(crash: CrashRecord): Fingerprint[] {
    if (crash.alone) return [...crash.inFlight];
    const pieces = this.records
      .all()
      .filter(
        other =>
          !other.alone &&
          other.endpoint === crash.endpoint &&
          Math.abs(other.atMs - crash.atMs) <= SAME_CRASH_WINDOW_MS,
      );
    return pieces.flatMap(piece => [...piece.inFlight]);
  }

  private listOpenCrashesOf(fingerprint: Fingerprint): CrashRecord[] {
    return this.records
      .listCrashesOf(fingerprint)
      .filter(crash => !crash.cleared.has(fingerprint));
  }

  private listSuspectedCrashesOf(fingerprint: Fingerprint): CrashRecord[] {
    return this.listOpenCrashesOf(fingerprint).filter(
      crash => !this.isReclaim(crash, fingerprint),
    );
  }

  /**
   * A data centre's cheap endpoints are reclaimed together. If every request
   * that ran there had to run alone, nothing could be served just when
   * endpoints are short. Only a request that was at several of these endpoints
   * stays suspect.
   */
  private isReclaim(crash: CrashRecord, fingerprint: Fingerprint): boolean {
    const others = this.records
      .all()
      .filter(
        other =>
          other.isConfirmed &&
          other.endpoint !== crash.endpoint &&
          other.dataCentre === crash.dataCentre &&
          Math.abs(other.atMs - crash.atMs) <= RECLAIM_WINDOW_MS,
      );
    const endpoints = new Set(others.map(other => other.endpoint));
    if (endpoints.size + 1 < RECLAIM_ENDPOINT_COUNT) return false;
    return !others.some(other => other.inFlight.has(fingerprint));
  }
}
