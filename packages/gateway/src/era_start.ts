/** Agrees on when the current era of the store began. */

import {findRow} from '@snipestage/agreement/table_effects.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {eraOf} from '@snipestage/types/store_version.js';
import {readEra} from './row_schemas.js';

/** Options of {@link EraStart}. */
export interface EraStartOptions {
  readonly platform: Platform;
  readonly clock: AgreedClock;
  readonly nowMs: () => number;
}

/** Value of the row at {@link ERA_KEY}. */
interface EraValue {
  readonly era: number;
  readonly sinceEpochMs: number;
}

const ERA_KEY = 'clock/era';

/**
 * The first instance that sees a new era writes the time into a row, so that
 * instances that start later know it, too. The store was set back before that.
 */
export class EraStart {
  private known: EraValue | undefined;

  constructor(private readonly options: EraStartOptions) {}

  /**
   * Time of day before which the store was set back for the last time; -Infinity
   * if it never was.
   *
   * @returns undefined when it isn't known yet; to be tried again.
   * @example
   * const sinceEpochMs = await eraStart.read(eraOf(row.version));
   */
  async read(era: number): Promise<number | undefined> {
    if (era === 0) return Number.NEGATIVE_INFINITY;
    if (this.known?.era === era) return this.known.sinceEpochMs;
    return this.readRow();
  }

  /** Writes the row if this instance is the first to see the era. */
  async note(): Promise<void> {
    await this.readRow();
  }

  private async readRow(): Promise<number | undefined> {
    const {platform, clock, nowMs} = this.options;
    const result = await platform.readRows([ERA_KEY]);
    if (result.kind === 'unavailable') return undefined;
    const row = findRow(result.rows, ERA_KEY);
    const era = eraOf(row.version);
    const stored = readEra(row.value);
    if (stored?.era === era) {
      this.known = stored;
      return stored.sinceEpochMs;
    }
    const value: EraValue = {era, sinceEpochMs: clock.epochAt(nowMs())};
    const written = await platform.transact({
      checks: [{key: ERA_KEY, version: row.version}],
      writes: [{key: ERA_KEY, value}],
    });
    if (written.kind !== 'committed') return undefined;
    this.known = value;
    return value.sinceEpochMs;
  }
}
