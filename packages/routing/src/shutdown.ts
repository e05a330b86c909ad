/** How far a stop of this instance has come, and what it still takes. */

/** What a {@link Shutdown} is made from. */
export interface ShutdownOptions {
  /** Between the signal and the end of the process by force. */
  readonly graceMs: number;
}

/** The end of the grace time is left to write what was counted. */
const GRACE_MARGIN_MS = 600;
/** The balancer asks each second and acts on the second miss. */
const BALANCER_LAG_MS = 2200;

/** A request that has come while an instance may be stopping. */
export interface Arrival {
  readonly nowMs: number;
  /** When its caller or the operator's limit gives up. */
  readonly endsAtMs: number;
  /** What nine of ten answers of its route take; undefined if not known. */
  readonly usualMs: number | undefined;
}

/** Counts from the signal to stop; before it everything is as usual. */
export class Shutdown {
  private beganAtMs: number | undefined;

  constructor(private readonly options: ShutdownOptions) {}

  begin(nowMs: number): void {
    this.beganAtMs ??= nowMs;
  }

  get isStopping(): boolean {
    return this.beganAtMs !== undefined;
  }

  /** Time since the signal; undefined before it. */
  sinceMs(nowMs: number): number | undefined {
    return this.beganAtMs === undefined ? undefined : nowMs - this.beganAtMs;
  }

  /** Whether the balancer has had the time to notice. */
  hasBalancerNoticed(nowMs: number): boolean {
    return (this.sinceMs(nowMs) ?? 0) >= BALANCER_LAG_MS;
  }

  /** Whether whatever still runs has to be given up. */
  isGraceOver(nowMs: number): boolean {
    return this.leftMs(nowMs) <= 0;
  }

  /** What is left for requests; endless before the signal. */
  leftMs(nowMs: number): number {
    const sinceMs = this.sinceMs(nowMs);
    if (sinceMs === undefined) return Number.POSITIVE_INFINITY;
    return this.options.graceMs - GRACE_MARGIN_MS - sinceMs;
  }

  /**
   * Whether a request is taken.
   *
   * An instance that is stopped with requests in progress goes on for seconds,
   * and its connections with it. What it takes then and can't finish is cut in
   * the middle of its answer, and a caller of something that may not be repeated
   * doesn't know whether it ran; a refusal now leads it to another instance. Only
   * what surely ends in time is safe. Until the balancer has noticed it sends
   * everything here, and a refusal would cost each of its callers a second way:
   * then what usually ends in time is taken too.
   *
   * @example
   * if (!shutdown.mayTake({nowMs, endsAtMs, usualMs})) refuse();
   */
  mayTake({nowMs, endsAtMs, usualMs = 0}: Arrival): boolean {
    const graceEndsAtMs = nowMs + this.leftMs(nowMs);
    if (endsAtMs <= graceEndsAtMs) return true;
    if (this.hasBalancerNoticed(nowMs)) return false;
    return nowMs + usualMs < graceEndsAtMs;
  }
}
