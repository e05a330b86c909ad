/**
 * Whether an endpoint may get work, judged by the outcomes of its own attempts:
 * load reports lag, and a crashed engine's last report says that it is idle.
 */

import type {AttemptOutcome} from '@snipestage/types/permits.js';

/** Consecutive failures after which an endpoint counts as failed. */
const CONSECUTIVE_FAILURE_COUNT = 3;
const FIRST_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 30_000;

/**
 * An endpoint fails after a crash or several consecutive failures, and recovers
 * by probes, one at a time.
 */
export class EndpointHealth {
  private consecutiveFailures = 0;
  private backoffMs = 0;
  private failedAtMs: number | undefined;

  /** Whether the endpoint is out of use, even if a probe is due. */
  get failed(): boolean {
    return this.failedAtMs !== undefined;
  }

  /** When the next probe may start; `nowMs` while the endpoint is in use. */
  probeAtMs(nowMs: number): number {
    if (this.failedAtMs === undefined) return nowMs;
    return Math.max(nowMs, this.failedAtMs + this.backoffMs);
  }

  /** Records an outcome; true if the endpoint has just recovered. */
  finished(outcome: AttemptOutcome, nowMs: number): boolean {
    switch (outcome) {
      case 'ok':
        return this.succeeded();
      case 'crashed':
        this.fail(nowMs);
        return false;
      case 'failed':
      case 'timeout':
        this.consecutiveFailures++;
        if (
          this.failed ||
          this.consecutiveFailures >= CONSECUTIVE_FAILURE_COUNT
        ) {
          this.fail(nowMs);
        }
        return false;
      case 'cancelled':
        return false;
    }
  }

  private succeeded(): boolean {
    const recovered = this.failed;
    this.consecutiveFailures = 0;
    this.failedAtMs = undefined;
    this.backoffMs = 0;
    return recovered;
  }

  /**
   * Attempts that were in flight at a crash end one after another. Only the
   * first counts; otherwise one crash would look like many failed probes.
   */
  private fail(nowMs: number): void {
    if (this.failedAtMs !== undefined && this.probeAtMs(nowMs) > nowMs) return;
    const doubled = Math.max(FIRST_BACKOFF_MS, this.backoffMs * 2);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, doubled);
    this.failedAtMs = nowMs;
  }
}
