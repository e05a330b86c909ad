/** How far a stop of this instance has come. */

/** What a {@link Shutdown} is made from. */
export interface ShutdownOptions {
  /** Between the signal and the end of the process by force. */
  readonly graceMs: number;
}

/** The end of the grace time is left to write what was counted. */
const GRACE_MARGIN_MS = 600;
/** The balancer asks each second and acts on the second miss. */
const BALANCER_LAG_MS = 2200;

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
}
