/** How many requests one endpoint may run at once. */

import type {AttemptOutcome} from '@snipestage/types/permits.js';

/** What the tightest class served at an endpoint asks for. */
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

/** What an endpoint's limit is looked over with from time to time. */
export interface LimitReview {
  /** Requests that run at the endpoint. */
  readonly inFlight: number;
  /** Typical of the cell's endpoints; absent while nothing was measured. */
  readonly typicalBetweenTokensMs?: number;
}

/**
 * - `healthy`: gets as much as its limit.
 * - `slow`: slower than the others and past its target; one request at a time.
 * - `stalled`: what runs there produces nothing; no new work.
 * - `failed`: crashed or failing; no work until the next probe is due.
 * - `probing`: one request tells whether it has recovered.
 */
export type EndpointCondition =
  'healthy' | 'slow' | 'stalled' | 'failed' | 'probing';

/** A limit, and why it is so, for the state dump. */
export interface LimitSnapshot {
  readonly permits: number;
  readonly health: EndpointCondition;
  readonly betweenTokensMs?: number;
}

/** What a {@link LimitPolicy} is made from. */
export interface LimitPolicyOptions {
  /** Never more at once than this. */
  readonly maxConcurrency: number;
}

/** The limit of one endpoint; how it is found is the policy. */
export abstract class LimitPolicy {
  protected maxConcurrency: number;

  constructor(options: LimitPolicyOptions) {
    this.maxConcurrency = options.maxConcurrency;
  }

  /** Permits at once at this moment; 0 while it gets no work. */
  abstract permits(nowMs: number): number;

  /** When it may get work again; `nowMs` while it does, else maybe never. */
  abstract usableAtMs(nowMs: number): number;

  /** Whether the next request there may well fail or be slow. */
  abstract isProbing(nowMs: number): boolean;

  /** The endpoint runs this many now, one more than before. */
  abstract started(inFlight: number, nowMs: number): void;

  /** An attempt has ended there. */
  abstract finished(sample: LimitSample, nowMs: number): void;

  /** Time between tokens of an attempt that still runs. */
  abstract progressed(
    betweenTokensMs: number,
    targets: LatencyTargets | undefined,
    nowMs: number,
  ): void;

  /** Called a few times a second. */
  abstract review(review: LimitReview, nowMs: number): void;

  /** A new owner begins with this many in flight there, and knows no more. */
  abstract takeOver(inFlight: number): void;

  abstract snapshot(nowMs: number): LimitSnapshot;

  /** The endpoint is configured anew. */
  reconfigure(maxConcurrency: number): void {
    this.maxConcurrency = maxConcurrency;
  }
}

/**
 * Always as many as the endpoint is built for.
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
