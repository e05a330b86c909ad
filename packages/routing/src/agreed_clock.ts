/**
 * The time of day that all instances agree upon.
 *
 * A machine's time of day may jump by seconds and back. Usage counted by it
 * would land in the wrong window: the figures of two windows would be off, with
 * nothing but the bill to show it. The store has a steady clock that all see;
 * one row ties it to the time of day, once, and every instance counts by that.
 */

/** A reading of the store's steady clock, between two of our own clock. */
export interface StoreClockReading {
  readonly storeMs: number;
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
}

/** Before the tie is known it goes by the machine's own time of day at start. */
export class AgreedClock {
  private ownOffsetMs: number;
  private storeOffsetMs: number | undefined;
  private uncertaintyMs = Number.POSITIVE_INFINITY;
  private tieMs: number | undefined;

  /**
   * @param nowMs our steady clock.
   * @param epochMs the machine's time of day at the same moment.
   */
  constructor(nowMs: number, epochMs: number) {
    this.ownOffsetMs = epochMs - nowMs;
  }

  /**
   * Takes in a reading; the one with the shortest way counts most.
   *
   * @example
   * clock.noteReading({storeMs, sentAtMs, receivedAtMs});
   */
  noteReading(reading: StoreClockReading): void {
    const roundTripMs = reading.receivedAtMs - reading.sentAtMs;
    if (roundTripMs > this.uncertaintyMs) return;
    this.uncertaintyMs = roundTripMs;
    const middleMs = reading.sentAtMs + roundTripMs / 2;
    this.storeOffsetMs = reading.storeMs - middleMs;
  }

  /** Milliseconds to add to the store's clock, as the row has them. */
  tie(tieMs: number): void {
    this.tieMs = tieMs;
  }

  get isTied(): boolean {
    return this.tieMs !== undefined && this.storeOffsetMs !== undefined;
  }

  /** What this instance would write as the tie; undefined before a reading. */
  proposeTie(): number | undefined {
    return this.storeOffsetMs === undefined
      ? undefined
      : this.ownOffsetMs - this.storeOffsetMs;
  }

  /**
   * The agreed time of day.
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
