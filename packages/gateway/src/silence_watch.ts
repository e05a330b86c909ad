/** Times the silence of an endpoint. */

import type {SilenceLimits} from './silence_limits.js';

/** Times the silence before the first event and between events. */
export class SilenceWatch {
  private timer: NodeJS.Timeout | undefined;
  /** Whether the attempt was ended for it. */
  hasFired = false;
  /** Whether the endpoint has been silent for longer than it may be. */
  isSilent = false;

  constructor(
    private readonly limits: SilenceLimits,
    /** @returns whether the attempt was ended. */
    private readonly onSilent: () => boolean,
  ) {
    this.arm(limits.firstMs);
  }

  restart(): void {
    this.arm(this.limits.nextMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private arm(delayMs: number): void {
    clearTimeout(this.timer);
    this.isSilent = false;
    this.timer = setTimeout(() => {
      this.isSilent = true;
      this.hasFired = this.onSilent();
    }, delayMs);
  }
}
