/** Measures one attempt as its tokens arrive. */

import type {MonotonicClock} from '../clock.js';

/** Time to first token and between tokens. */
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

  /** Mean; absent with fewer than two tokens. */
  get betweenTokensMs(): number | undefined {
    if (this.firstAtMs === undefined || this.tokens < 2) return undefined;
    return (this.lastAtMs - this.firstAtMs) / (this.tokens - 1);
  }
}
