/** A value whose readers see changes only after a configurable lag. */

interface Version<T> {
  readonly value: T;
  readonly sinceEpochMs: number;
}

/** Simulates the lag with which real systems publish lists and reports. */
export class LaggedValue<T> {
  lagMs: number;
  private versions: Array<Version<T>>;

  constructor(first: T, lagMs = 0) {
    this.lagMs = lagMs;
    this.versions = [{value: first, sinceEpochMs: 0}];
  }

  /** The latest value, without the lag. */
  get current(): T {
    return this.versions[this.versions.length - 1].value;
  }

  /**
   * Changes the value; readers see the change once the lag has passed.
   *
   * @example
   * load.set({running: 3}, Date.now());
   */
  set(value: T, nowEpochMs: number): void {
    this.versions.push({value, sinceEpochMs: nowEpochMs});
    const seen = this.visibleIndexAt(nowEpochMs);
    this.versions = this.versions.slice(seen);
  }

  /**
   * Returns the value that readers see now, and since when it has been current.
   *
   * @example
   * load.read(Date.now());
   */
  read(nowEpochMs: number): Version<T> {
    return this.versions[this.visibleIndexAt(nowEpochMs)];
  }

  private visibleIndexAt(nowEpochMs: number): number {
    const visibleEpochMs = nowEpochMs - this.lagMs;
    const at = this.versions.findLastIndex(
      version => version.sinceEpochMs <= visibleEpochMs,
    );
    return Math.max(0, at);
  }
}
