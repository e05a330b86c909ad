/** What this instance's requests show of the engines of a service. */

import {judgeCached} from './engine_estimates.js';
import type {RequestTokens} from './engine_ledger.js';
import {ReadRate} from './read_rate.js';
import {RouteSamples} from './route_samples.js';
import type {RouteId} from './route.js';

/** A stream that has begun. */
export interface BegunStream {
  readonly tokens: RequestTokens;
  /** Unread at the engine when the request was sent. */
  readonly aheadTokens: number;
  /** Whether this instance had sent the shared part there before. */
  readonly wasSentBefore: boolean;
  /** Since it was sent, at an engine of usual speed. */
  readonly elapsedMs: number;
}

/** Shared tokens of unknown state that count as read, by those that were. */
const MAX_UNSURE_SHARE = 1 / 3;
/** Processing of prompts on both deployments, for placement until learned. */
const USUAL_TOKENS_PER_MS = 60;
/** Until durations are known: about those of both deployments. */
const USUAL_STAY_MS = 1000;
/** A slow mean: in a burst requests stay longer because engines are full. */
const STAY_WEIGHT = 0.005;

/** Rates, sizes and durations, by this instance's own requests. */
export class ServiceSamples {
  readonly routes = new RouteSamples();
  private readonly rate = new ReadRate();
  private meanStayMs = USUAL_STAY_MS;

  /** How long requests usually stay at an engine. */
  get stayMs(): number {
    return this.meanStayMs;
  }

  /** Undefined until enough streams have begun. */
  get learnedTokensPerMs(): number | undefined {
    return this.rate.tokensPerMs;
  }

  get tokensPerMs(): number {
    return this.rate.tokensPerMs ?? USUAL_TOKENS_PER_MS;
  }

  /**
   * Learns from the first event of a stream.
   *
   * @example
   * samples.noteBegun(route.id, begun);
   */
  noteBegun(route: RouteId, begun: BegunStream): void {
    const {tokens, aheadTokens, wasSentBefore, elapsedMs} = begun;
    const {ownTokens, sharedTokens} = tokens;
    // A small shared part changes the rate little, whether or not it was cached.
    const isSmall = sharedTokens <= ownTokens * MAX_UNSURE_SHARE;
    this.rate.note(ownTokens + (isSmall ? sharedTokens : 0), elapsedMs);
    if (wasSentBefore) return;
    const readTokens = elapsedMs * this.tokensPerMs;
    const isCached = judgeCached({...tokens, aheadTokens, readTokens});
    if (isCached !== undefined) this.routes.noteCached(route, isCached);
  }

  noteStay(durationMs: number): void {
    this.meanStayMs += STAY_WEIGHT * (durationMs - this.meanStayMs);
  }
}
