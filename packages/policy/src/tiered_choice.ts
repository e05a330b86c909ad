/** Endpoint choice of the `tiered` policy. */

import type {CellPermitRequest} from '@snipestage/types/permits.js';
import {
  EndpointChoice,
  compareLoad,
  type EndpointView,
} from './endpoint_choice.js';
import type {RandomSource} from './random_source.js';
import {rankByRendezvous} from './rendezvous.js';

/**
 * Up to this multiple of its fair load, an endpoint is chosen by affinity. The
 * fair loads divide the requests in flight in proportion to the limits.
 */
const AFFINITY_LOAD_BOUND = 1.5;

/** Options of {@link TieredChoice}. */
export interface TieredChoiceOptions {
  readonly affinityLoadBound?: number;
}

/**
 * Prefers cheap endpoints for requests that may run there. Among the candidates
 * it chooses the endpoint that has probably seen the prompt's prefix before, or
 * the next in rank if that one's load exceeds a bound (consistent hashing with
 * bounded loads, Mirrokni et al. 2016); without a prefix hash, the better of
 * two taken at random.
 */
export class TieredChoice extends EndpointChoice {
  private readonly bound: number;

  constructor(options: TieredChoiceOptions = {}) {
    super();
    this.bound = options.affinityLoadBound ?? AFFINITY_LOAD_BOUND;
  }

  choose(
    ask: CellPermitRequest,
    candidates: readonly EndpointView[],
    random: RandomSource,
  ): EndpointView {
    const preferred = preferCheap(ask, spareProbes(ask, candidates));
    if (ask.prefixHash === undefined) return betterOfTwo(preferred, random);
    return this.byAffinity(ask.prefixHash, preferred);
  }

  private byAffinity(
    prefixHash: string,
    views: readonly EndpointView[],
  ): EndpointView {
    const byId = new Map(views.map(view => [view.id, view]));
    const inFlight = sum(views.map(view => view.inFlight)) + 1;
    const limits = sum(views.map(({limit}) => limit));
    for (const id of rankByRendezvous(prefixHash, byId.keys())) {
      const view = byId.get(id)!;
      const fairLoad = (inFlight * view.limit) / limits;
      if (view.inFlight + 1 <= Math.ceil(fairLoad * this.bound)) return view;
    }
    return [...views].sort(compareLoad)[0];
  }
}

/**
 * Keeps the top tier off endpoints whose recovery is being probed, if possible.
 */
function spareProbes(
  ask: CellPermitRequest,
  candidates: readonly EndpointView[],
): readonly EndpointView[] {
  if (ask.tier > 0) return candidates;
  const proven = candidates.filter(({probing}) => !probing);
  return proven.length > 0 ? proven : candidates;
}

function preferCheap(
  ask: CellPermitRequest,
  candidates: readonly EndpointView[],
): readonly EndpointView[] {
  if (!ask.cheapAllowed) return candidates;
  const cheap = candidates.filter(({kind}) => kind === 'cheap');
  return cheap.length > 0 ? cheap : candidates;
}

function betterOfTwo(
  views: readonly EndpointView[],
  random: RandomSource,
): EndpointView {
  if (views.length === 1) return views[0];
  const first = Math.floor(random() * views.length);
  const step = 1 + Math.floor(random() * (views.length - 1));
  const second = (first + step) % views.length;
  return compareLoad(views[first], views[second]) <= 0
    ? views[first]
    : views[second];
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
