/** Learns how fast the engines of a service process prompts. */

/** Options of {@link ReadRate}; defaults in brackets. */
export interface ReadRateOptions {
  /** Samples that are kept (128): those of about a minute. */
  readonly maxSamples?: number;
  /** Samples without which no rate counts as known (8). */
  readonly minSamples?: number;
}

const DEFAULT_MAX_SAMPLES = 128;
const DEFAULT_MIN_SAMPLES = 8;
/**
 * Shorter texts are read in less time than the network and the first
 * generation step take, and would show a rate that is too low.
 */
const MIN_SAMPLE_TOKENS = 1000;
/**
 * Queueing makes engines look slower than they are, and nothing but a text that
 * was in the cache makes them look faster.
 */
const QUANTILE = 0.9;

/**
 * The rate is an upper quantile of the tokens that were certainly read, divided
 * by the time until the first event. Tokens of shared parts don't count, since
 * another instance may have sent them to the engine before.
 */
export class ReadRate {
  /** In the order in which they came. */
  private readonly samples: number[] = [];
  private readonly maxSamples: number;
  private readonly minSamples: number;
  private known: number | undefined;

  constructor(options: ReadRateOptions = {}) {
    this.maxSamples = options.maxSamples ?? DEFAULT_MAX_SAMPLES;
    this.minSamples = options.minSamples ?? DEFAULT_MIN_SAMPLES;
  }

  /**
   * Records the first event of a stream.
   *
   * @param elapsedMs since the request was sent, at an engine of usual speed.
   * @example
   * rate.note(3720, 75);
   */
  note(uncachedTokens: number, elapsedMs: number): void {
    if (uncachedTokens < MIN_SAMPLE_TOKENS || elapsedMs <= 0) return;
    this.samples.push(uncachedTokens / elapsedMs);
    if (this.samples.length > this.maxSamples) this.samples.shift();
    if (this.samples.length < this.minSamples) return;
    const sorted = this.samples.toSorted((left, right) => left - right);
    this.known = sorted[Math.floor(QUANTILE * (sorted.length - 1))];
  }

  /** Undefined until enough streams have begun. */
  get tokensPerMs(): number | undefined {
    return this.known;
  }
}
