/** Connect timeout after which another endpoint is tried. */

/** Options of {@link ConnectTimeout}; defaults in brackets. */
export interface ConnectTimeoutOptions {
  /** (100 ms): well above the timer delays of a busy instance. */
  readonly minMs?: number;
  /** (350 ms): also used before the first connection. */
  readonly maxMs?: number;
}

const DEFAULT_MIN_MS = 100;
const DEFAULT_MAX_MS = 350;
/** Weights and factor of RFC 6298, section 2, for retransmission timers. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;

/**
 * Estimates the connect timeout from handshake times, as TCP does its
 * retransmission timeout. On links of some milliseconds a handshake that takes
 * a tenth of a second has lost a packet, which is retransmitted after a second;
 * a request that has to begin within 300 ms can still do so at another
 * endpoint. A slow machine sees slow handshakes and gets a longer timeout.
 */
export class ConnectTimeout {
  private meanMs: number | undefined;
  private deviationMs = 0;
  private readonly minMs: number;
  private readonly maxMs: number;

  constructor(options: ConnectTimeoutOptions = {}) {
    this.minMs = options.minMs ?? DEFAULT_MIN_MS;
    this.maxMs = options.maxMs ?? DEFAULT_MAX_MS;
  }

  /** Records how long a connection took to open. */
  note(tookMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = tookMs;
      this.deviationMs = tookMs / 2;
      return;
    }
    const error = tookMs - this.meanMs;
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(error) - this.deviationMs);
    this.meanMs += MEAN_WEIGHT * error;
  }

  /**
   * @example
   * const timer = setTimeout(giveUp, timeout.timeoutMs);
   */
  get timeoutMs(): number {
    if (this.meanMs === undefined) return this.maxMs;
    const learntMs = this.meanMs + DEVIATION_FACTOR * this.deviationMs;
    return Math.min(this.maxMs, Math.max(this.minMs, learntMs));
  }
}
