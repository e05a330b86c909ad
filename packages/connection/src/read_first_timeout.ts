/** A timeout that lets the event loop read first what has arrived. */

/** Node.js runs a timer with a longer delay at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

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
    this.timer = setTimeout(
      () => {
        this.afterReading = setImmediate(onTimeout);
      },
      Math.min(delayMs, MAX_DELAY_MS),
    );
  }

  /** No effect after the timeout. */
  cancel(): void {
    clearTimeout(this.timer);
    clearImmediate(this.afterReading);
  }
}

/** Options of {@link resolveWithin}. */
export interface ResolveWithinOptions<Value> {
  readonly timeoutMs: number;
  /** Result when the time is over first. */
  readonly otherwise: Value;
}

/**
 * Waits for a promise that may never settle.
 *
 * @example
 * const rows = await resolveWithin(read(), {timeoutMs: 400, otherwise: []});
 */
export async function resolveWithin<Value>(
  pending: Promise<Value>,
  {timeoutMs, otherwise}: ResolveWithinOptions<Value>,
): Promise<Value> {
  let timeout: ReadFirstTimeout | undefined;
  const timedOut = new Promise<Value>(resolve => {
    timeout = new ReadFirstTimeout(() => resolve(otherwise), timeoutMs);
  });
  return Promise.race([pending, timedOut]).finally(() => timeout?.cancel());
}
