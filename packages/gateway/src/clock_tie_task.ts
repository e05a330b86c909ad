/** Ties the store's clock to the time of day, once for all instances. */

import {ABSENT} from '@snipestage/types/store_version.js';
import {findRow} from '@snipestage/agreement/table_effects.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';

const TIE_KEY = 'clock/tie';
const TRY_EVERY_MS = 500;

interface TieValue {
  readonly tieMs: number;
}

/**
 * The first instance that finds no row writes its own time of day; all others
 * use the value in the row. The row is written once and never changed, since a
 * change would move requests between windows that have already been counted.
 */
export class ClockTieTask {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly platform: Platform,
    private readonly clock: AgreedClock,
    private readonly logger: Logger,
  ) {}

  start(): void {
    this.timer = setInterval(() => void this.tryOnce(), TRY_EVERY_MS);
    void this.tryOnce();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  async tryOnce(): Promise<void> {
    const result = await this.platform.readRows([TIE_KEY]);
    if (result.kind === 'unavailable') return;
    const value = findRow(result.rows, TIE_KEY).value as TieValue | null;
    if (value !== null) {
      this.clock.tie(value.tieMs);
      this.stop();
      this.logger.info('clock_tied', {tieMs: value.tieMs});
      return;
    }
    const tieMs = this.clock.proposeTie();
    if (tieMs === undefined) return;
    // If another instance's write came first or this one failed, the next try
    // reads the row.
    await this.platform.transact({
      checks: [{key: TIE_KEY, version: ABSENT}],
      writes: [{key: TIE_KEY, value: {tieMs}}],
    });
  }
}
