/**
 * Retry budget that all instances share without exchanging messages.
 */

/** Options of {@link WindowBudget}. */
export interface WindowBudgetOptions {
  /** Retries for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries in a window that are always allowed (1). */
  readonly floor?: number;
  /**
   * Number of unused retries that may be saved up at the moment (no limit).
   */
  readonly readMaxSaved?: () => number;
}

const DEFAULT_FLOOR = 1;

/**
 * Number of retries that each instance may save up so that all instances
 * together stay within the slack that a deployment allows beyond its ratio.
 *
 * @param slack retries allowed beyond the ratio, over all instances.
 * @param instances undefined until they have been counted.
 * @example
 * maxSavedEach(52, 6); // 6.1
 */
export function maxSavedEach(
  slack: number,
  instances: number | undefined,
): number {
  if (instances === undefined) return DEFAULT_FLOOR;
  const beyondFloors = slack / instances - DEFAULT_FLOOR;
  return Math.max(DEFAULT_FLOOR, beyondFloors * SAVED_SHARE);
}

/** Allows for instances that are gone or not counted yet. */
const SAVED_SHARE = 0.8;

/**
 * Sliding window over an instance's own requests and retries.
 *
 * The sum over all instances of `ratio` times their own requests is `ratio`
 * times all requests, so that each may use its own share without coordination,
 * however many there are and whichever are cut off. The floor lets an instance
 * with few requests retry one; it is well within the slack that deployments
 * allow in addition, which is many times the number of instances.
 *
 * The window alone limits retries only while requests keep coming. When a burst
 * ends, or callers leave, retries left unused in its first second would be used
 * in its last one and after it, and windows that begin in between would contain
 * retries without the requests that allowed them. So only a few may be saved
 * up.
 */
export class WindowBudget {
  private readonly requests: number[] = [];
  private readonly retries: number[] = [];
  private readonly floor: number;
  private readonly readMaxSaved: () => number;
  /** Unused retries that requests have allowed; the maximum at first. */
  private saved: number;

  constructor(private readonly options: WindowBudgetOptions) {
    this.floor = options.floor ?? DEFAULT_FLOOR;
    this.readMaxSaved = options.readMaxSaved ?? (() => Number.MAX_VALUE);
    this.saved = this.readMaxSaved();
  }

  /** A request came in. */
  countRequest(nowMs: number): void {
    this.requests.push(nowMs);
    this.saved = Math.min(this.readMaxSaved(), this.saved + this.options.ratio);
    this.forget(nowMs);
  }

  /**
   * Takes one retry from the budget if it has room.
   *
   * @returns whether it had room.
   *
   * @example
   * if (!budget.tryTake(nowMs)) giveUp();
   */
  tryTake(nowMs: number): boolean {
    if (!this.hasRoom(nowMs)) return false;
    this.retries.push(nowMs);
    this.saved = Math.max(0, this.saved - 1);
    return true;
  }

  /** Whether {@link tryTake} would succeed now. */
  hasRoom(nowMs: number): boolean {
    this.forget(nowMs);
    const next = this.retries.length + 1;
    if (next <= this.floor) return true;
    return next <= this.allowance() && this.saved >= 1;
  }

  private allowance(): number {
    return this.options.ratio * this.requests.length;
  }

  private forget(nowMs: number): void {
    const beginsAtMs = nowMs - this.options.windowMs;
    dropUntil(this.requests, beginsAtMs);
    dropUntil(this.retries, beginsAtMs);
  }
}

function dropUntil(times: number[], beginsAtMs: number): void {
  let count = 0;
  while (count < times.length && times[count] <= beginsAtMs) count += 1;
  if (count > 0) times.splice(0, count);
}
