/** Brittle endpoints rarely have to reject more than they bear. */

import type {History} from '../history.js';
import {Check, type Finding} from './check.js';

const ALLOWED_FALLS = 2;
const ALLOWED_FALLS_PER_ENDPOINT = 0.1;

/** Endpoints of a brittle service fall over at most a few times. */
export class FewFalls extends Check {
  readonly name = 'few_falls';

  find(history: History): readonly Finding[] {
    const known = new Map(history.runs.map(run => [run.endpoint, run.service]));
    return history.brittlePeriods.flatMap(period => {
      const {service, endpoints, maxRejectionsPerS, fromMs, toMs} = period;
      const falls = history.falls.filter(
        ({endpoint, atMs}) =>
          known.get(endpoint) === service && atMs >= fromMs && atMs <= toMs,
      );
      const allowed = ALLOWED_FALLS + ALLOWED_FALLS_PER_ENDPOINT * endpoints;
      if (falls.length <= allowed) return [];
      const message = `${falls.length} falls of ${endpoints} endpoints of ${service} that bear ${maxRejectionsPerS} rejections a second`;
      return [this.found(message, falls[0].atMs)];
    });
  }
}
