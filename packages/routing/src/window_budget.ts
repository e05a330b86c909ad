/**
 * Budget for attempts beyond the first, which all instances share without
 * telling each other.
 */

/** What a {@link WindowBudget} is made from. */
export interface WindowBudgetOptions {
  /** Further attempts for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Allowed whatever the number of requests (1). */
  readonly floor?: number;
}

const DEFAULT_FLOOR = 1;

/**
 * Sliding window over an instance's own requests and further attempts.
 *
 * The sum over all instances of `ratio` times their own requests is `ratio`
 * times all requests, so that each may spend its own share without agreement,
 * however many there are and whoever is cut off. The floor lets an instance
 * with few requests repeat one; it is well inside the slack that deployments
 * allow on top, which is many times the number of instances.
 */
export class WindowBudget {
  private readonly requests: number[] = [];
  private readonly extras: number[] = [];
  private readonly floor: number;

  constructor(private readonly options: WindowBudgetOptions) {
    this.floor = options.floor ?? DEFAULT_FLOOR;
  }

  /** A request came in. */
  countRequest(nowMs: number): void {
    this.requests.push(nowMs);
    this.forget(nowMs);
  }

  /**
   * Takes one further attempt out of the budget, if there is one.
   *
   * @example
   * if (!budget.tryTake(nowMs)) giveUp();
   */
  tryTake(nowMs: number): boolean {
    this.forget(nowMs);
    if (this.extras.length + 1 > this.allowance()) return false;
    this.extras.push(nowMs);
    return true;
  }

  /** Whether {@link tryTake} would be granted now. */
  hasRoom(nowMs: number): boolean {
    this.forget(nowMs);
    return this.extras.length + 1 <= this.allowance();
  }

  private allowance(): number {
    return Math.max(this.floor, this.options.ratio * this.requests.length);
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
