/**
 * Finds parts of prompts that crash endpoints. Such a part crashes each endpoint
 * that begins an answer to a prompt with it, and the requests that bring it
 * needn't have anything else in common. Most of what they hold is also part of
 * sound requests, which must not be refused with them.
 */

import type {EndpointId, PromptPartId} from '@snipestage/types/ids.js';
import {groupByCrash, isConfirmed} from './crash_count.js';
import type {CrashRecord, CrashRecords} from './crash_records.js';

/** Crashes from which on a part is refused. */
const MAX_CRASH_COUNT = 3;
/**
 * Crashes from which on a part is refused with which answers have begun, though
 * parts that no answer has begun with were at each of these crashes too.
 */
const MAX_DOUBTFUL_CRASH_COUNT = 6;
/** Those of them in which the endpoint has to have been found down. */
const MIN_CONFIRMED_COUNT = 2;

/** Options of {@link PartSuspects}; default in brackets. */
export interface PartSuspectsOptions {
  /** How long after its last crash a part is refused (10 minutes). */
  readonly refuseForMs?: number;
}

/** How to treat the parts of a prompt. */
export type PartsDecision =
  | {readonly kind: 'clear'}
  | {
      readonly kind: 'refuse';
      /** Those that are taken for the cause of crashes. */
      readonly parts: readonly PromptPartId[];
      readonly retryAfterMs: number;
    };

const DEFAULT_REFUSE_FOR_MS = 600_000;
/** Parts whose answers began that are remembered, the latest ones. */
const MAX_BEGUN_PARTS = 4096;
const CLEAR: PartsDecision = {kind: 'clear'};

/** One crash, with the parts that may have caused it. */
interface Incident {
  readonly atMs: number;
  readonly isConfirmed: boolean;
  readonly parts: ReadonlySet<PromptPartId>;
  /** Those of them with which an answer had begun before. */
  readonly proven: ReadonlySet<PromptPartId>;
}

/** Times are milliseconds of one monotonic clock. */
export class PartSuspects {
  /** When an answer last began with a part, the least recent first. */
  private readonly begunAtMs = new Map<PromptPartId, number>();
  private readonly refuseForMs: number;
  private suspects: ReadonlyMap<PromptPartId, number> = new Map();
  private revision = -1;

  constructor(
    private readonly records: CrashRecords,
    options: PartSuspectsOptions = {},
  ) {
    this.refuseForMs = options.refuseForMs ?? DEFAULT_REFUSE_FOR_MS;
  }

  /**
   * An answer to a prompt with these parts got beyond its first event, so that
   * earlier crashes had another cause. Later ones may still be theirs: a part
   * may crash endpoints from some moment on.
   *
   * @returns whether it cleared a part of a crash.
   * @example
   * table.parts.noteBegun(listSharedParts(prompt), nowMs);
   */
  noteBegun(parts: readonly PromptPartId[], nowMs: number): boolean {
    const {revision} = this.records;
    for (const part of parts) {
      this.begunAtMs.delete(part);
      this.begunAtMs.set(part, nowMs);
      this.records.clearPart(part, nowMs);
    }
    for (const part of this.begunAtMs.keys()) {
      if (this.begunAtMs.size <= MAX_BEGUN_PARTS) break;
      this.begunAtMs.delete(part);
    }
    return this.records.revision !== revision;
  }

  /** Those of the parts with which an answer has begun at some time. */
  findProven(parts: readonly PromptPartId[]): readonly PromptPartId[] {
    return parts.filter(part => this.begunAtMs.has(part));
  }

  /**
   * Whether these parts, with which answers have begun, are less likely the
   * cause of an endpoint's latest crash than another part: one that was in
   * several crashes, and that no answer has begun with.
   */
  isInDoubt(parts: readonly PromptPartId[], endpoint: EndpointId): boolean {
    const all = this.records.all();
    const crashes = all.filter(crash => crash.endpoint === endpoint);
    const latest = listIncidents(crashes).at(-1);
    if (latest === undefined) return false;
    if (!parts.every(part => latest.proven.has(part))) return false;
    const counted = countByPart(listIncidents(all));
    return listUnproven(latest).some(part =>
      counted.some(each => each.part === part && each.incidents.length > 1),
    );
  }

  /** Those of the parts with which an answer has begun since a crash. */
  findBegunSince(
    parts: readonly PromptPartId[],
    atMs: number,
  ): readonly PromptPartId[] {
    return parts.filter(
      part => (this.begunAtMs.get(part) ?? -Infinity) >= atMs,
    );
  }

  /**
   * Decides how to treat a request by the parts of its prompt.
   *
   * @example
   * const decision = table.parts.classify(listSharedParts(prompt), nowMs);
   * if (decision.kind === 'refuse') refuse('suspected_part', decision);
   */
  classify(parts: readonly PromptPartId[], nowMs: number): PartsDecision {
    if (!parts.some(part => this.records.hasCrashesOfPart(part))) return CLEAR;
    this.records.evict(nowMs);
    const suspects = this.readSuspects();
    const refused = parts.filter(
      part => this.leftMs(suspects, part, nowMs) > 0,
    );
    if (refused.length === 0) return CLEAR;
    const lefts = refused.map(part => this.leftMs(suspects, part, nowMs));
    return {
      kind: 'refuse',
      parts: refused,
      retryAfterMs: Math.max(...lefts),
    };
  }

  private leftMs(
    suspects: ReadonlyMap<PromptPartId, number>,
    part: PromptPartId,
    nowMs: number,
  ): number {
    const lastAtMs = suspects.get(part);
    if (lastAtMs === undefined) return 0;
    return lastAtMs + this.refuseForMs - nowMs;
  }

  private readSuspects(): ReadonlyMap<PromptPartId, number> {
    const {revision} = this.records;
    if (revision !== this.revision) {
      this.suspects = findSuspectParts(this.records.all());
      this.revision = revision;
    }
    return this.suspects;
  }
}

/**
 * The fewest parts that explain all repeated crashes: the one in most crashes
 * first, then the one in most of the crashes left, and so on. What was beside it
 * at the same crashes isn't accused, unless it was at all of them. Parts with
 * which answers have begun come last: most of what sound requests share is in
 * all crashes.
 *
 * @returns the time of the last crash of each of them.
 * @example
 * const lastAtMs = findSuspectParts(records.all()).get(part);
 */
export function findSuspectParts(
  crashes: readonly CrashRecord[],
): ReadonlyMap<PromptPartId, number> {
  const incidents = listIncidents(crashes);
  const proven = new Set(incidents.flatMap(each => [...each.proven]));
  const found = new Map<PromptPartId, number>();
  const rest = explain(incidents, found, each => !proven.has(each.part));
  explain(
    rest,
    found,
    each =>
      each.incidents.length >= MAX_DOUBTFUL_CRASH_COUNT ||
      isCause({
        ...each,
        incidents: each.incidents.filter(
          incident => listUnproven(incident).length === 0,
        ),
      }),
  );
  return found;
}

/** @returns the crashes that are left unexplained. */
function explain(
  incidents: readonly Incident[],
  found: Map<PromptPartId, number>,
  mayAccuse: (counted: PartIncidents) => boolean,
): readonly Incident[] {
  let unexplained = incidents;
  for (;;) {
    const counted = countByPart(unexplained).filter(
      each => isCause(each) && mayAccuse(each),
    );
    if (counted.length === 0) return unexplained;
    const most = Math.max(...counted.map(each => each.incidents.length));
    const likeliest = counted.filter(each => each.incidents.length === most);
    for (const each of likeliest) {
      found.set(each.part, Math.max(...each.incidents.map(({atMs}) => atMs)));
    }
    unexplained = unexplained.filter(
      ({parts}) => !likeliest.some(({part}) => parts.has(part)),
    );
  }
}

function listUnproven({parts, proven}: Incident): PromptPartId[] {
  return [...parts].filter(part => !proven.has(part));
}

interface PartIncidents {
  readonly part: PromptPartId;
  readonly incidents: readonly Incident[];
}

function isCause({incidents}: PartIncidents): boolean {
  const confirmed = incidents.filter(each => each.isConfirmed);
  return (
    incidents.length >= MAX_CRASH_COUNT &&
    confirmed.length >= MIN_CONFIRMED_COUNT
  );
}

function countByPart(incidents: readonly Incident[]): PartIncidents[] {
  const byPart = new Map<PromptPartId, Incident[]>();
  for (const incident of incidents) {
    for (const part of incident.parts) {
      const known = byPart.get(part) ?? [];
      known.push(incident);
      byPart.set(part, known);
    }
  }
  return [...byPart].map(([part, found]) => ({part, incidents: found}));
}

function listIncidents(crashes: readonly CrashRecord[]): readonly Incident[] {
  const withParts = crashes.filter(({parts}) => parts.size > 0);
  return groupByCrash(withParts).map(pieces => {
    const cleared = new Set(pieces.flatMap(piece => [...piece.clearedParts]));
    const all = pieces.flatMap(piece => [...piece.parts]);
    return {
      atMs: Math.max(...pieces.map(({atMs}) => atMs)),
      isConfirmed: pieces.some(isConfirmed),
      parts: new Set(all.filter(part => !cleared.has(part))),
      proven: new Set(pieces.flatMap(piece => [...piece.provenParts])),
    };
  });
}
