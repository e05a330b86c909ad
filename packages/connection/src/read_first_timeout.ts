/** A timeout that lets the event loop read first what has arrived. */

/**
 * Node.js runs timers before it reads sockets. After a standstill of the process
 * a plain timer fires although the answer that it waits for has arrived in time.
 *
 * @example
 * const timeout = new ReadFirstTimeout(() => fail('timeout'), timeoutMs);
 * answer.then(() => timeout.cancel());
 */
export class ReadFirstTimeout {
  private readonly timer: NodeJS.Timeout;
  private afterReading: NodeJS.Immediate | undefined;

  constructor(onTimeout: () => void, delayMs: number) {
    this.timer = setTimeout(() => {
      this.afterReading = setImmediate(onTimeout);
    }, delayMs);
  }

  /** No effect after the timeout. */
  cancel(): void {
    clearTimeout(this.timer);
    clearImmediate(this.afterReading);
  }
}
