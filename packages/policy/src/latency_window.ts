/** Quantiles over the most recent measurements. */

const DEFAULT_SAMPLE_COUNT = 256;
/** Sorting for each query would cost more than an exact answer is worth. */
const SORT_INTERVAL_SAMPLE_COUNT = 16;

/** Keeps a bounded number of measurements and drops the oldest first. */
export class LatencyWindow {
  private readonly samples: number[] = [];
  private sorted: readonly number[] = [];
  private next = 0;
  private addedSinceSort = 0;

  constructor(private readonly size = DEFAULT_SAMPLE_COUNT) {}

  get count(): number {
    return this.samples.length;
  }

  add(valueMs: number): void {
    this.samples[this.next] = valueMs;
    this.next = (this.next + 1) % this.size;
    this.addedSinceSort += 1;
  }

  /**
   * The value that this share of the measurements does not exceed; the latest
   * few may not be counted yet. `undefined` without measurements.
   *
   * @example
   * window.quantile(0.95);
   */
  quantile(share: number): number | undefined {
    if (
      this.addedSinceSort >= SORT_INTERVAL_SAMPLE_COUNT ||
      this.sorted.length === 0
    ) {
      this.sorted = [...this.samples].sort((left, right) => left - right);
      this.addedSinceSort = 0;
    }
    const index = Math.ceil(share * this.sorted.length) - 1;
    return this.sorted[Math.max(0, index)];
  }
}
