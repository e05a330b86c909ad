/** Decides whose input is read next when it takes much processor time. */

/**
 * Processor time that input may take at once, shared by the connections that have
 * used their part of it and wait.
 */
const BURST_MS = 4;
/** Share of the processor that each connection may use without waiting. */
const FREE_SHARE = 0.05;
/** Bounds what the suspension of a process adds to one connection's debt. */
const MAX_DEBT_MS = 1000;
/** Bytes of the smallest and the largest part that is parsed at once. */
const MIN_PART_BYTES = 2048;
const MAX_PART_BYTES = 65_536;
/** A part that takes no longer than this may be followed by a larger one. */
const CHEAP_PART_MS = 0.25;
/** Time in a turn of the event loop for all connections that wait. */
export const WAITING_TURN_MS = 4;
/** After this time in one turn of the event loop, parts are small. */
const LONG_TURN_MS = 20;

/** Processor time that the input of one connection has taken. */
export class InputAccount {
  private debtMs = 0;
  private updatedAtMs = 0;
  private bytes = MIN_PART_BYTES;

  /**
   * Size of the next part to parse.
   *
   * @param turnMs time that input has taken in this turn of the event loop.
   */
  partBytes(turnMs: number): number {
    return turnMs < LONG_TURN_MS ? this.bytes : MIN_PART_BYTES;
  }

  /**
   * Counts a part that has been parsed.
   *
   * @example
   * account.charge(nowMs() - beganAtMs, nowMs());
   */
  charge(costMs: number, nowMs: number): void {
    const isCheap = costMs <= CHEAP_PART_MS;
    this.bytes = isCheap
      ? Math.min(MAX_PART_BYTES, 2 * this.bytes)
      : MIN_PART_BYTES;
    this.debtMs = Math.min(MAX_DEBT_MS, this.readDebtMs(nowMs) + costMs);
    this.updatedAtMs = nowMs;
  }

  /**
   * Whether all that has been read may be passed on at once. Requests and answers
   * that come one at a time do, however slow the machine: a connection with little
   * to read takes one small part in a turn of the event loop.
   *
   * @param waiting the number of other connections that wait.
   * @param turnMs time that input has taken in this turn of the event loop.
   */
  mayPass(
    bytes: number,
    nowMs: number,
    {waiting, turnMs}: {readonly waiting: number; readonly turnMs: number},
  ): boolean {
    if (bytes <= MIN_PART_BYTES) return true;
    return bytes <= this.partBytes(turnMs) && !this.mustWait(nowMs, waiting);
  }

  /** What it has used beyond its free share. */
  readDebtMs(nowMs: number): number {
    const repaidMs = (nowMs - this.updatedAtMs) * FREE_SHARE;
    return Math.max(0, this.debtMs - repaidMs);
  }

  /**
   * Whether its next part has to wait for its turn.
   *
   * @param waiting the number of other connections that wait.
   */
  mustWait(nowMs: number, waiting: number): boolean {
    return this.readDebtMs(nowMs) > BURST_MS / (1 + waiting);
  }
}

/**
 * The waiting connection whose input has taken the least time.
 *
 * @example
 * const next = chooseInput(waiting, each => each.account, nowMs());
 */
export function chooseInput<Item>(
  waiting: Iterable<Item>,
  accountOf: (item: Item) => InputAccount,
  nowMs: number,
): Item | undefined {
  let chosen: Item | undefined;
  let leastMs = Number.POSITIVE_INFINITY;
  for (const item of waiting) {
    const debtMs = accountOf(item).readDebtMs(nowMs);
    if (debtMs >= leastMs) continue;
    chosen = item;
    leastMs = debtMs;
  }
  return chosen;
}
