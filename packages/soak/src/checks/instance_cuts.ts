/** Instances without links to endpoints serve through the others. */

import {CRASH_PARAMETER} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {History, InstanceCutRecord, SentRequest} from '../history.js';
import {Check, type Finding} from './check.js';

const MIN_SHARE_RATIO = 2 / 3;
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;
/** With fewer requests elsewhere there is nothing to compare with. */
const MIN_COMPARED = 20;

/**
 * From the contact bound after the start of a cut, requests at instances that
 * lost their links are served about as often as those at the others.
 */
export class ServedWhenCut extends Check {
  readonly name = 'served_when_cut';

  find(history: History): readonly Finding[] {
    return history.instanceCuts.flatMap(cut => {
      const {cutOff, elsewhere} = compareServed(history, cut);
      const isComparable = elsewhere.sent >= MIN_COMPARED && cutOff.sent > 0;
      const failed = cutOff.sent - cutOff.served;
      const isBroken =
        cutOff.served / cutOff.sent <
          MIN_SHARE_RATIO * (elsewhere.served / elsewhere.sent) &&
        failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * cutOff.sent;
      if (!isComparable || !isBroken) return [];
      const message = `${cutOff.served} of ${cutOff.sent} served at instances without links, ${elsewhere.served} of ${elsewhere.sent} elsewhere`;
      return [this.found(message, cut.fromMs)];
    });
  }
}

/** Requests and how many of them were served. */
export interface ServedCount {
  readonly sent: number;
  readonly served: number;
}

/**
 * Counts requests of undisturbed instances during a cut.
 *
 * @example
 * const {cutOff, elsewhere} = compareServed(history, cut);
 */
export function compareServed(
  history: History,
  {instances, fromMs, toMs}: InstanceCutRecord,
): {readonly cutOff: ServedCount; readonly elsewhere: ServedCount} {
  const compared = history.requests.filter(request => {
    const {sentAtMs, endedAtMs = Infinity, instance} = request;
    return (
      sentAtMs >= fromMs + history.bounds.contactMs &&
      sentAtMs < toMs &&
      mayBeServed(history, request) &&
      history.hadStoreContact(instance, sentAtMs, endedAtMs)
    );
  });
  const isCutOff = ({instance}: SentRequest) => instances.includes(instance);
  return {
    cutOff: countServed(compared.filter(isCutOff)),
    elsewhere: countServed(compared.filter(each => !isCutOff(each))),
  };
}

/**
 * Whether nothing about the request itself keeps it from being served.
 *
 * @example
 * const owed = history.requests.filter(each => mayBeServed(history, each));
 */
export function mayBeServed(
  {keyWithdrawals}: History,
  {outcome, marker, key, path}: SentRequest,
): boolean {
  return (
    outcome?.kind !== 'left' &&
    marker === undefined &&
    !keyWithdrawals.has(key) &&
    !path.includes(CRASH_PARAMETER)
  );
}

/**
 * @example
 * const {sent, served} = countServed(requests);
 */
export function countServed(requests: readonly SentRequest[]): ServedCount {
  const served = requests.filter(
    ({outcome}) => outcome?.kind === 'answered' && outcome.status === 200,
  );
  return {sent: requests.length, served: served.length};
}
