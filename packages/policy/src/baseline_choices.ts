/** Baseline endpoint choices, for comparison. */

import type {CellPermitRequest} from '@snipestage/types/permits.js';
import {EndpointChoice, type EndpointView} from './endpoint_choice.js';

/** Each endpoint in turn, in the order of ids. */
export class RoundRobinChoice extends EndpointChoice {
  private last = '';

  choose(
    _ask: CellPermitRequest,
    candidates: readonly EndpointView[],
  ): EndpointView {
    const sorted = [...candidates].sort((a, b) => (a.id < b.id ? -1 : 1));
    const next = sorted.find(({id}) => id > this.last) ?? sorted[0];
    this.last = next.id;
    return next;
  }
}

/** The endpoint with the fewest requests in flight. */
export class LeastInFlightChoice extends EndpointChoice {
  choose(
    _ask: CellPermitRequest,
    candidates: readonly EndpointView[],
  ): EndpointView {
    return candidates.reduce((best, view) =>
      view.inFlight < best.inFlight ? view : best,
    );
  }
}
