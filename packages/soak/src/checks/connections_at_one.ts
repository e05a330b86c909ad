/** An instance that gets most new connections serves what it reads. */

import type {Concentration, History, SentRequest} from '../history.js';
import {Check, type Finding} from './check.js';
import {countServed, mayBeServed, type ServedCount} from './instance_cuts.js';

const MIN_SHARE_RATIO = 3 / 4;
const MIN_SAMPLE = 20;
const COMPARED_BEFORE_MS = 5000;

/**
 * From the contact bound on, requests that an instance has read are served at
 * the first attempt about as often as in the seconds before. Beside other
 * faults, they are compared with those at other instances.
 */
export class ServedWithMostConnections extends Check {
  readonly name = 'served_with_most_connections';

  find(history: History): readonly Finding[] {
    return history.concentrations.flatMap(period => {
      const read = listRead(history, {
        fromMs: period.fromMs + history.bounds.contactMs,
        toMs: period.toMs,
      });
      const instances = [...new Set(read.map(({instance}) => instance))];
      return instances.flatMap(instance => {
        const isHere = (each: SentRequest) => each.instance === instance;
        const here = countServed(read.filter(isHere));
        const usual = countUsual(history, period, each => !isHere(each));
        const isTooFew = here.sent < MIN_SAMPLE || usual.sent < MIN_SAMPLE;
        if (isTooFew || shareOf(here) >= MIN_SHARE_RATIO * shareOf(usual))
          return [];
        const message = `${here.served} of ${here.sent} served at ${instance} with most new connections, ${usual.served} of ${usual.sent} otherwise`;
        return [this.found(message, period.fromMs)];
      });
    });
  }
}

function countUsual(
  history: History,
  {fromMs, toMs}: Concentration,
  isElsewhere: (request: SentRequest) => boolean,
): ServedCount {
  const before = {fromMs: fromMs - COMPARED_BEFORE_MS, toMs: fromMs};
  const isCalm = !history.disturbances.some(
    each => each.fromMs <= toMs && each.toMs >= before.fromMs,
  );
  if (isCalm) return countServed(listRead(history, before));
  return countServed(listRead(history, {fromMs, toMs}).filter(isElsewhere));
}

/** First attempts that undisturbed instances have read. */
function listRead(
  history: History,
  {fromMs, toMs}: Concentration,
): readonly SentRequest[] {
  return history.requests.filter(request => {
    const {sentAtMs, endedAtMs = Infinity, instance, outcome} = request;
    return (
      sentAtMs >= fromMs &&
      sentAtMs < toMs &&
      request.takesUp === undefined &&
      outcome?.kind !== 'not_connected' &&
      mayBeServed(history, request) &&
      history.hadStoreContact(instance, sentAtMs, endedAtMs)
    );
  });
}

function shareOf({sent, served}: ServedCount): number {
  return served / sent;
}
