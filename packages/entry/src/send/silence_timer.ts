/** Timer that fires when no data has arrived for a while. */

/**
 * An open connection can go silent for good while new ones work, because
 * something on the network path has lost its state. No error is reported then;
 * only the absence of data shows it.
 *
 * @example
 * const timer = new SilenceTimer(1000, () => connection.reset());
 * timer.restart(200);
 */
export class SilenceTimer {
  private timer: NodeJS.Timeout | undefined;
  private fired = false;

  constructor(
    timeoutMs: number,
    private readonly onSilence: () => void,
  ) {
    this.restart(timeoutMs);
  }

  get hasFired(): boolean {
    return this.fired;
  }

  /** Restarts the timer, also after it has fired or was stopped. */
  restart(timeoutMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.fired = true;
      this.onSilence();
    }, timeoutMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }
}
