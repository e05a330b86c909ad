/** Software versions that the store may have lost when it was set back. */

import type {ServiceId, SoftwareVersion} from '@snipestage/types/ids.js';

/** Options of {@link FormerVersions}. */
export interface FormerVersionsOptions {
  readonly nowMs: () => number;
  /** How long a caller may come back for its stream. */
  readonly keepMs: number;
  /**
   * How long ago an era of the store began, in ms; undefined: not known.
   */
  readonly eraAgeMs: (era: number) => Promise<number | undefined>;
}

/** A set-back of the store, as an instance has noticed it. */
export interface NoticedSetBack {
  /** The era that it began. */
  readonly era: number;
  /** For how long before it changes may have been missed. */
  readonly missedForMs: number;
  /** The versions that were published by then. */
  readonly published: ReadonlyMap<ServiceId, ReadonlySet<SoftwareVersion>>;
}

/**
 * An instance that missed no more than this knows all versions at which streams
 * had begun: versions are published before.
 */
const MAX_MISSED_MS = 3000;

/**
 * A copy of the store may name one version of a service although streams have
 * begun at others that were published after the copy was made.
 */
export class FormerVersions {
  /** The latest era whose beginning this instance has followed. */
  private followedEra = 0;
  private former: NoticedSetBack['published'] = new Map();
  private untilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FormerVersionsOptions) {}

  /** Called before the versions in the copy are learnt. */
  noteSetBack({era, missedForMs, published}: NoticedSetBack): void {
    const {nowMs, keepMs} = this.options;
    const services = new Set([...this.former.keys(), ...published.keys()]);
    this.former = new Map(
      [...services].map(id => [
        id,
        new Set([...this.list(id), ...(published.get(id) ?? [])]),
      ]),
    );
    this.untilMs = nowMs() + keepMs;
    if (missedForMs <= MAX_MISSED_MS) this.followedEra = era;
  }

  /** Versions of a service at which streams may have begun before. */
  list(service: ServiceId): ReadonlySet<SoftwareVersion> {
    const isOver = this.options.nowMs() >= this.untilMs;
    return (isOver ? undefined : this.former.get(service)) ?? new Set();
  }

  /**
   * Whether a single version in a row of an era is the only one at which streams
   * may have begun, but for those in {@link list}.
   */
  async areComplete(era: number): Promise<boolean> {
    if (era === 0 || era === this.followedEra) return true;
    const {eraAgeMs, keepMs} = this.options;
    const ageMs = await eraAgeMs(era);
    return ageMs !== undefined && ageMs >= keepMs;
  }
}
