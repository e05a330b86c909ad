/** Progress of this instance's shutdown, and which requests it still admits. */

/** Options of {@link Shutdown}. */
export interface ShutdownOptions {
  /** Time between the signal and the forced end of the process. */
  readonly graceMs: number;
}

/** End of the grace time that is reserved for writing counts. */
const GRACE_MARGIN_MS = 600;
/** The balancer polls each second and acts on the second failure. */
const BALANCER_LAG_MS = 2200;

/** A request that arrives while the instance may be stopping. */
export interface Arrival {
  readonly nowMs: number;
  /** When the caller's or the operator's limit ends. */
  readonly endsAtMs: number;
  /** How long requests of its route may last; undefined if not known. */
  readonly usualMs: number | undefined;
}

/** Measures time from the signal to stop; before it everything is admitted. */
export class Shutdown {
  private beganAtMs: number | undefined;
  private signalledAtMs = 0;

  constructor(private readonly options: ShutdownOptions) {}

  /**
   * @param signalledAtMs from which the grace time counts: a process that stood
   *   still receives the signal late, and is ended all the same.
   * @example
   * shutdown.begin(nowMs, watch.earliestArrivalMs());
   */
  begin(nowMs: number, signalledAtMs = nowMs): void {
    if (this.beganAtMs !== undefined) return;
    this.beganAtMs = nowMs;
    this.signalledAtMs = signalledAtMs;
  }

  get isStopping(): boolean {
    return this.beganAtMs !== undefined;
  }

  /** Time since the signal was received; undefined before it. */
  sinceMs(nowMs: number): number | undefined {
    return this.beganAtMs === undefined ? undefined : nowMs - this.beganAtMs;
  }

  /** Whether the balancer has had enough time to notice the shutdown. */
  hasBalancerNoticed(nowMs: number): boolean {
    return (this.sinceMs(nowMs) ?? 0) >= BALANCER_LAG_MS;
  }

  /** Whether requests that still run have to be aborted. */
  isGraceOver(nowMs: number): boolean {
    return this.leftMs(nowMs) <= 0;
  }

  /** Time left for requests; infinite before the signal. */
  leftMs(nowMs: number): number {
    if (!this.isStopping) return Number.POSITIVE_INFINITY;
    const sinceMs = nowMs - this.signalledAtMs;
    return this.options.graceMs - GRACE_MARGIN_MS - sinceMs;
  }

  /**
   * Whether a request is admitted.
   *
   * An instance that is stopped with requests in progress runs on for seconds,
   * and its connections stay open. A request that it admits then and can't
   * finish is cut in the middle of its answer, and a caller of a request that
   * may not be repeated doesn't know whether it ran; a refusal leads it to
   * another instance. Only requests whose limit ends in time are safe. Until
   * the balancer has noticed, it sends all requests here, and a refusal would
   * cost each caller a second round trip: then requests that are known to end in
   * time are admitted too.
   *
   * @example
   * if (!shutdown.mayAdmit({nowMs, endsAtMs, usualMs})) refuse();
   */
  mayAdmit({nowMs, endsAtMs, usualMs}: Arrival): boolean {
    const graceEndsAtMs = nowMs + this.leftMs(nowMs);
    if (endsAtMs <= graceEndsAtMs) return true;
    if (usualMs === undefined || this.hasBalancerNoticed(nowMs)) return false;
    return nowMs + usualMs < graceEndsAtMs;
  }
}
