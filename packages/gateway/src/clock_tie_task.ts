/** Ties the store's clock to the time of day, once for all instances. */

import {ABSENT} from '@snipestage/types/store_version.js';
import {findRow} from '@snipestage/agreement/table_effects.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {readTie} from './row_schemas.js';

const TIE_KEY = 'clock/tie';
const TRY_EVERY_MS = 500;

/**
 * The first instance that finds no row writes its own time of day; all others
 * use the value in the row. The row is written once and never changed, since a
 * change would move requests between windows that have already been counted.
 */
export class ClockTieTask {
  private timer: NodeJS.Timeout | undefined;
  private known: number | undefined;

  constructor(
    private readonly platform: Platform,
    private readonly clock: AgreedClock,
    private readonly logger: Logger,
  ) {}

  /** Reads the row, or writes it if it is missing; may be called again. */
  start(): void {
    clearInterval(this.timer);
    this.timer = setInterval(() => void this.tryOnce(), TRY_EVERY_MS);
    void this.tryOnce();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  async tryOnce(): Promise<void> {
    const result = await this.platform.readRows([TIE_KEY]);
    if (result.kind === 'unavailable') return;
    const {value} = findRow(result.rows, TIE_KEY);
    const storedTieMs = readTie(value);
    if (storedTieMs !== undefined) {
      this.stop();
      this.tie(storedTieMs);
      return;
    }
    // Nothing can be written in place of a malformed row, which isn't absent.
    if (value !== null) {
      this.stop();
      this.logger.error('clock_tie_malformed');
      return;
    }
    // The store may have lost the row since it was read.
    const tieMs = this.known ?? this.clock.proposeTie();
    if (tieMs === undefined) return;
    // If another instance's write came first or this one failed, the next try
    // reads the row.
    await this.platform.transact({
      checks: [{key: TIE_KEY, version: ABSENT}],
      writes: [{key: TIE_KEY, value: {tieMs}}],
    });
  }

  private tie(tieMs: number): void {
    const before = this.known;
    if (before !== undefined) {
      if (before === tieMs) return;
      this.logger.error('clock_tie_differs', {tieMs, known: before});
      return;
    }
    this.known = tieMs;
    this.clock.tie(tieMs);
    this.logger.info('clock_tied', {tieMs});
  }
}
