/** Quantiles over the latest measurements. */

const DEFAULT_SIZE = 256;
/** Sorting for each question would cost more than the answer is worth. */
const SORT_EVERY = 16;

/** Keeps a bounded number of measurements, the oldest go first. */
export class LatencyWindow {
  private readonly samples: number[] = [];
  private sorted: readonly number[] = [];
  private next = 0;
  private sinceSorted = 0;

  constructor(private readonly size = DEFAULT_SIZE) {}

  get count(): number {
    return this.samples.length;
  }

  add(valueMs: number): void {
    this.samples[this.next] = valueMs;
    this.next = (this.next + 1) % this.size;
    this.sinceSorted += 1;
  }

  /**
   * The value that this share of the measurements does not exceed, at most a
   * few measurements old; `undefined` without any.
   *
   * @example
   * window.quantile(0.95);
   */
  quantile(share: number): number | undefined {
    if (this.sinceSorted >= SORT_EVERY || this.sorted.length === 0) {
      this.sorted = [...this.samples].sort((left, right) => left - right);
      this.sinceSorted = 0;
    }
    const index = Math.ceil(share * this.sorted.length) - 1;
    return this.sorted[Math.max(0, index)];
  }
}
