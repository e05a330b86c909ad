/** Timer for the silence of an endpoint. */

import {ReadFirstTimeout} from '@snipestage/connection/read_first_timeout.js';
import type {SilenceLimits} from '@snipestage/routing/silence_limits.js';

/** Calls back when an endpoint exceeds its {@link SilenceLimits}. */
export class SilenceWatch {
  private timeout: ReadFirstTimeout | undefined;
  private isStopped = false;
  /** Whether the attempt was cancelled because of silence. */
  hasFired = false;
  /** Whether the current silence has exceeded its limit. */
  isSilent = false;

  constructor(
    private readonly limits: SilenceLimits,
    /** @returns whether the attempt was cancelled. */
    private readonly onSilent: () => boolean,
  ) {
    this.arm(limits.firstMs);
  }

  /** Begins anew after an event or a {@link pause}; no effect once stopped. */
  restart(): void {
    if (!this.isStopped) this.arm(this.limits.nextMs);
  }

  /** Doesn't count the time until {@link restart}. */
  pause(): void {
    this.timeout?.cancel();
  }

  stop(): void {
    this.isStopped = true;
    this.pause();
  }

  private arm(delayMs: number): void {
    this.timeout?.cancel();
    this.isSilent = false;
    this.timeout = new ReadFirstTimeout(() => {
      this.isSilent = true;
      this.hasFired = this.onSilent();
    }, delayMs);
  }
}
