/** A budget that requests fill and extra attempts draw from. */

/** Options of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Extra attempts that each request pays for, such as 0.1. */
  readonly share: number;
  /** Added without any requests, so that a class with few isn't stuck. */
  readonly refillPerSecond: number;
  /** Upper bound, so that a quiet period can't pay for a burst of retries. */
  readonly capacity: number;
}

/** Starts full. Times are milliseconds of any monotonic clock. */
export class TokenBucket {
  private tokens: number;
  private updatedAtMs: number | undefined;

  constructor(private readonly options: TokenBucketOptions) {
    this.tokens = options.capacity;
  }

  /** Adds the share of one request. */
  deposit(nowMs: number): void {
    this.refill(nowMs);
    this.add(this.options.share);
  }

  /** Time until one attempt can be paid for; 0 if it can now. */
  waitMs(nowMs: number): number {
    this.refill(nowMs);
    if (this.tokens >= 1) return 0;
    const {refillPerSecond} = this.options;
    if (refillPerSecond <= 0) return Infinity;
    return Math.ceil(((1 - this.tokens) / refillPerSecond) * 1000);
  }

  /** Pays for one attempt; false if the budget is too low. */
  spend(nowMs: number): boolean {
    if (this.waitMs(nowMs) > 0) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const sinceMs = Math.max(0, nowMs - (this.updatedAtMs ?? nowMs));
    this.updatedAtMs = Math.max(nowMs, this.updatedAtMs ?? nowMs);
    this.add((sinceMs / 1000) * this.options.refillPerSecond);
  }

  private add(tokens: number): void {
    this.tokens = Math.min(this.options.capacity, this.tokens + tokens);
  }
}
