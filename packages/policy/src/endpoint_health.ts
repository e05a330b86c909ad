/**
 * Whether an endpoint may get work, from what its own attempts came to: load
 * reports lag, and a crashed engine's last report says that it is idle.
 */

import type {AttemptOutcome} from '@snipestage/types/permits.js';

/** Failures in a row after which an endpoint is taken as failed. */
const FAILURES_IN_A_ROW = 3;
const FIRST_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 30_000;

/** Fails after a crash or several failures; recovers by probes one at a time. */
export class EndpointHealth {
  private failuresInARow = 0;
  private backoffMs = 0;
  private failedAtMs: number | undefined;

  /** Out of use, a probe being due or not. */
  get failed(): boolean {
    return this.failedAtMs !== undefined;
  }

  /** When the next probe may start; `nowMs` while the endpoint is in use. */
  probeAtMs(nowMs: number): number {
    if (this.failedAtMs === undefined) return nowMs;
    return Math.max(nowMs, this.failedAtMs + this.backoffMs);
  }

  /** True if the endpoint has just recovered. */
  finished(outcome: AttemptOutcome, nowMs: number): boolean {
    switch (outcome) {
      case 'ok':
        return this.succeeded();
      case 'crashed':
        this.fail(nowMs);
        return false;
      case 'failed':
      case 'timeout':
        this.failuresInARow++;
        if (this.failed || this.failuresInARow >= FAILURES_IN_A_ROW) {
          this.fail(nowMs);
        }
        return false;
      case 'cancelled':
        return false;
    }
  }

  private succeeded(): boolean {
    const recovered = this.failed;
    this.failuresInARow = 0;
    this.failedAtMs = undefined;
    this.backoffMs = 0;
    return recovered;
  }

  /**
   * Attempts that were in flight at a crash end one after the other; only the
   * first counts, else one crash would look like many failed probes.
   */
  private fail(nowMs: number): void {
    if (this.failedAtMs !== undefined && this.probeAtMs(nowMs) > nowMs) return;
    const doubled = Math.max(FIRST_BACKOFF_MS, this.backoffMs * 2);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, doubled);
    this.failedAtMs = nowMs;
  }
}
