/** Limits how many requests one endpoint may run at once. */

import type {AttemptOutcome} from '@snipestage/types/permits.js';

/** Latency targets of a request class. */
export interface LatencyTargets {
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/** An attempt that has ended, as measured by the entry instance. */
export interface LimitSample {
  readonly outcome: AttemptOutcome;
  readonly outputTokens: number;
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
  readonly targets?: LatencyTargets;
}

/** Measurements for the periodic review of an endpoint's limit. */
export interface LimitReview {
  /** Requests that run at the endpoint. */
  readonly inFlight: number;
  /** Typical of the cell's endpoints; absent without measurements. */
  readonly typicalBetweenTokensMs?: number;
}

/**
 * - `healthy`: gets work up to its limit.
 * - `slow`: slower than the others and over its target; one request at a time.
 * - `stalled`: its running requests produce nothing; no new work.
 * - `failed`: crashed or failing; no work until the next probe is due.
 * - `probing`: one request shows whether it has recovered.
 */
export type EndpointCondition =
  'healthy' | 'slow' | 'stalled' | 'failed' | 'probing';

/** A limit and the reason for it, for the state dump. */
export interface LimitSnapshot {
  readonly permits: number;
  readonly health: EndpointCondition;
  readonly betweenTokensMs?: number;
}

/** Options of a {@link LimitPolicy}. */
export interface LimitPolicyOptions {
  /** Upper bound of the limit. */
  readonly maxConcurrency: number;
}

/** The limit of one endpoint; subclasses decide how it is found. */
export abstract class LimitPolicy {
  protected maxConcurrency: number;

  constructor(options: LimitPolicyOptions) {
    this.maxConcurrency = options.maxConcurrency;
  }

  /** Current number of permits; 0 while the endpoint gets no work. */
  abstract permits(nowMs: number): number;

  /** Earliest time at which it may get work; `nowMs` or later, maybe never. */
  abstract usableAtMs(nowMs: number): number;

  /** Whether the next request there is a probe that may fail or be slow. */
  abstract isProbing(nowMs: number): boolean;

  /** A request has started; the endpoint now runs `inFlight`. */
  abstract started(inFlight: number, nowMs: number): void;

  /** An attempt has ended there. */
  abstract finished(sample: LimitSample, nowMs: number): void;

  /** Records the time between tokens of an attempt that still runs. */
  abstract progressed(
    betweenTokensMs: number,
    targets: LatencyTargets | undefined,
    nowMs: number,
  ): void;

  /** Reviews the limit; called a few times a second. */
  abstract review(review: LimitReview, nowMs: number): void;

  /** Called by a new owner, which knows only how many are in flight there. */
  abstract takeOver(inFlight: number): void;

  abstract snapshot(nowMs: number): LimitSnapshot;

  /** Applies a changed configuration of the endpoint. */
  reconfigure(maxConcurrency: number): void {
    this.maxConcurrency = maxConcurrency;
  }
}

/**
 * A constant limit: the configured maximum concurrency of the endpoint.
 *
 * @example
 * new FixedLimit({maxConcurrency: 8}).permits(); // 8
 */
export class FixedLimit extends LimitPolicy {
  permits(): number {
    return this.maxConcurrency;
  }

  usableAtMs(nowMs: number): number {
    return this.maxConcurrency > 0 ? nowMs : Infinity;
  }

  isProbing(): boolean {
    return false;
  }

  started(): void {}

  finished(): void {}

  progressed(): void {}

  review(): void {}

  takeOver(): void {}

  snapshot(): LimitSnapshot {
    return {permits: this.maxConcurrency, health: 'healthy'};
  }
}
