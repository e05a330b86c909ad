/** A value that its readers see as it was a while ago. */

interface Version<T> {
  readonly value: T;
  readonly sinceEpochMs: number;
}

/** Lists and reports of real systems lag; so do those of the stand-ins. */
export class LaggedValue<T> {
  lagMs: number;
  private versions: Array<Version<T>>;

  constructor(first: T, lagMs = 0) {
    this.lagMs = lagMs;
    this.versions = [{value: first, sinceEpochMs: 0}];
  }

  /** The value as it is. */
  get current(): T {
    return this.versions[this.versions.length - 1].value;
  }

  /**
   * Changes the value; readers see it after the lag.
   *
   * @example
   * load.set({running: 3}, Date.now());
   */
  set(value: T, nowEpochMs: number): void {
    this.versions.push({value, sinceEpochMs: nowEpochMs});
    const seen = this.seenAt(nowEpochMs);
    this.versions = this.versions.slice(seen);
  }

  /**
   * The value that readers see.
   *
   * @example
   * load.read(Date.now());
   */
  read(nowEpochMs: number): Version<T> {
    return this.versions[this.seenAt(nowEpochMs)];
  }

  private seenAt(nowEpochMs: number): number {
    const seenEpochMs = nowEpochMs - this.lagMs;
    const at = this.versions.findLastIndex(
      version => version.sinceEpochMs <= seenEpochMs,
    );
    return Math.max(0, at);
  }
}
