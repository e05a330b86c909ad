/** Latency figures of one attempt. */

import type {MonotonicClock} from '../clock.js';

/** Measures the time to the first token and between tokens. */
export class AttemptMeter {
  private readonly startedAtMs: number;
  private firstAtMs: number | undefined;
  private lastAtMs = 0;
  private tokens = 0;

  constructor(private readonly clock: MonotonicClock) {
    this.startedAtMs = clock();
  }

  token(): void {
    this.lastAtMs = this.clock();
    this.firstAtMs ??= this.lastAtMs;
    this.tokens += 1;
  }

  get outputTokens(): number {
    return this.tokens;
  }

  get firstTokenMs(): number | undefined {
    if (this.firstAtMs === undefined) return undefined;
    return this.firstAtMs - this.startedAtMs;
  }

  /** Mean time between tokens; `undefined` with fewer than two. */
  get betweenTokensMs(): number | undefined {
    if (this.firstAtMs === undefined || this.tokens < 2) return undefined;
    return (this.lastAtMs - this.firstAtMs) / (this.tokens - 1);
  }
}
