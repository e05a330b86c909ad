/**
 * Budget for attempts beyond the first, which all instances share without
 * exchanging messages.
 */

/** What a {@link WindowBudget} is made from. */
export interface WindowBudgetOptions {
  /** Further attempts for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Allowed whatever the number of requests (1). */
  readonly floor?: number;
  /**
   * Further attempts that may be saved up for later, at this moment (no limit).
   */
  readonly readMaxSaved?: () => number;
}

const DEFAULT_FLOOR = 1;

/**
 * What each instance may save up, if all of them together are to stay within
 * what a deployment allows beyond its ratio.
 *
 * @param slack further attempts allowed beyond the ratio, over all instances.
 * @param instances undefined until they were counted.
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

/** Some instances are gone or not counted yet. */
const SAVED_SHARE = 0.8;

/**
 * Sliding window over an instance's own requests and further attempts.
 *
 * The sum over all instances of `ratio` times their own requests is `ratio`
 * times all requests, so that each may spend its own share without agreement,
 * however many there are and whoever is cut off. The floor lets an instance
 * with few requests repeat one; it is well inside the slack that deployments
 * allow on top, which is many times the number of instances.
 *
 * The window alone holds only while requests keep coming. When a burst ends, or
 * callers leave, what its first second left unspent would be spent in its last
 * one and after it, and windows that begin in between see further attempts
 * without the requests that paid for them. So only a little may be saved up.
 */
export class WindowBudget {
  private readonly requests: number[] = [];
  private readonly extras: number[] = [];
  private readonly floor: number;
  private readonly readMaxSaved: () => number;
  /** Further attempts that requests have paid for and that were not made. */
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
   * Takes one further attempt out of the budget, if there is one.
   *
   * @example
   * if (!budget.tryTake(nowMs)) giveUp();
   */
  tryTake(nowMs: number): boolean {
    if (!this.hasRoom(nowMs)) return false;
    this.extras.push(nowMs);
    this.saved = Math.max(0, this.saved - 1);
    return true;
  }

  /** Whether {@link tryTake} would be granted now. */
  hasRoom(nowMs: number): boolean {
    this.forget(nowMs);
    const next = this.extras.length + 1;
    if (next <= this.floor) return true;
    return next <= this.allowance() && this.saved >= 1;
  }

  private allowance(): number {
    return this.options.ratio * this.requests.length;
  }

  private forget(nowMs: number): void {
    const beginsAtMs = nowMs - this.options.windowMs;
    dropUntil(this.requests, beginsAtMs);
    dropUntil(this.extras, beginsAtMs);
  }
}

function dropUntil(times: number[], beginsAtMs: number): void {
  let count = 0;
  while (count < times.length && times[count] <= beginsAtMs) count += 1;
  if (count > 0) times.splice(0, count);
}
