/**
 * A time of day that all instances share.
 *
 * A machine's time of day may jump by seconds and back. Usage counted by it
 * would land in the wrong window: the figures of two windows would be wrong,
 * and only the bill would show it. All instances can read the store's monotonic
 * clock. One row, written once, holds the offset from that clock to the time of
 * day, and every instance counts usage by their sum.
 */

/** Largest difference allowed for between the rates of two machines' clocks. */
export const MAX_CLOCK_DRIFT = 200 / 1_000_000;

/** A reading of the store's monotonic clock, between two of our own clock. */
export interface StoreClockReading {
  readonly storeMs: number;
  /** How often the store was set back; 0 if it doesn't say (0). */
  readonly era?: number;
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
}

/**
 * Uses the machine's time of day at start until a reading of the store's clock
 * and the shared offset are known.
 */
export class AgreedClock {
  private ownOffsetMs: number;
  private storeOffsetMs: number | undefined;
  private uncertaintyMs = Number.POSITIVE_INFINITY;
  /** When the reading in use was received. */
  private readAtMs = 0;
  private tieMs: number | undefined;

  /**
   * @param nowMs our monotonic clock.
   * @param epochMs the machine's time of day at the same moment.
   */
  constructor(nowMs: number, epochMs: number) {
    this.ownOffsetMs = epochMs - nowMs;
  }

  /**
   * Records a reading; one that is less certain than that in use is ignored. A
   * reading gets less certain with time, as clocks differ in rate.
   *
   * @example
   * clock.noteReading({storeMs, sentAtMs, receivedAtMs});
   */
  noteReading(reading: StoreClockReading): void {
    const roundTripMs = reading.receivedAtMs - reading.sentAtMs;
    const driftMs = (reading.receivedAtMs - this.readAtMs) * MAX_CLOCK_DRIFT;
    if (roundTripMs > this.uncertaintyMs + driftMs) return;
    this.uncertaintyMs = roundTripMs;
    this.readAtMs = reading.receivedAtMs;
    const middleMs = reading.sentAtMs + roundTripMs / 2;
    this.storeOffsetMs = reading.storeMs - middleMs;
  }

  /**
   * Sets the milliseconds to add to the store's clock, as read from the row.
   */
  tie(tieMs: number): void {
    this.tieMs = tieMs;
  }

  get isTied(): boolean {
    return this.tieMs !== undefined && this.storeOffsetMs !== undefined;
  }

  /** The offset this instance would write; undefined before a reading. */
  proposeTie(): number | undefined {
    return this.storeOffsetMs === undefined
      ? undefined
      : this.ownOffsetMs - this.storeOffsetMs;
  }

  /**
   * The shared time of day.
   *
   * @example
   * windows.count(account, clock.epochAt(performance.now()));
   */
  epochAt(nowMs: number): number {
    if (this.tieMs === undefined || this.storeOffsetMs === undefined) {
      return nowMs + this.ownOffsetMs;
    }
    return nowMs + this.storeOffsetMs + this.tieMs;
  }
}
