/** A budget that requests fill and extra attempts draw from. */

/** What a {@link TokenBucket} is made from. */
export interface TokenBucketOptions {
  /** Extra attempts that each request pays for, such as 0.1. */
  readonly share: number;
  /** What flows in without any request, so that a quiet class isn't stuck. */
  readonly floorPerSecond: number;
  /** Most that is kept, so that a calm day doesn't pay for a storm. */
  readonly capacity: number;
}

/** Starts full. Times are milliseconds of any clock that doesn't go back. */
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

  /** How long until one attempt can be paid; 0 if it can now. */
  waitMs(nowMs: number): number {
    this.refill(nowMs);
    if (this.tokens >= 1) return 0;
    const {floorPerSecond} = this.options;
    if (floorPerSecond <= 0) return Infinity;
    return Math.ceil(((1 - this.tokens) / floorPerSecond) * 1000);
  }

  /** Pays for one attempt if it can. */
  spend(nowMs: number): boolean {
    if (this.waitMs(nowMs) > 0) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const sinceMs = Math.max(0, nowMs - (this.updatedAtMs ?? nowMs));
    this.updatedAtMs = Math.max(nowMs, this.updatedAtMs ?? nowMs);
    this.add((sinceMs / 1000) * this.options.floorPerSecond);
  }

  private add(tokens: number): void {
    this.tokens = Math.min(this.options.capacity, this.tokens + tokens);
  }
}
