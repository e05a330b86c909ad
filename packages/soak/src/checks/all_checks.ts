/** All checks of a soak, one for each guarantee. */

import type {History} from '../history.js';
import {AnnouncedLeavings, Backoffs} from './announcements.js';
import {
  AnswerInTime,
  AtMostOnce,
  NoFalseDenial,
  OwnWholeAnswer,
  TrueRefusal,
  UnchangedRequest,
} from './answers.js';
import {FewFalls} from './brittle_services.js';
import {
  EvacuatedDataCentres,
  LeavingEndpoints,
  RisingConfiguration,
  TimelyConfiguration,
  WithdrawnKeys,
} from './changes.js';
import type {Check, Finding} from './check.js';
import {CrashingParts, SoundBesideCrashingParts} from './crashing_parts.js';
import {CrashingRequests} from './crashing_requests.js';
import {ServedWithMostConnections} from './connections_at_one.js';
import {OneFigure, OneHolder} from './duties.js';
import {ServedWhenCut} from './instance_cuts.js';
import {
  MaxAttempts,
  NothingForNobody,
  RetryBudget,
  TimeHandedOn,
} from './limits.js';
import {RateLimits} from './rate_limits.js';
import {OneVersion, StreamsGoOn} from './streams.js';
import {
  NothingLost,
  NoUnhandledError,
  ProperEnds,
  ServesAgain,
} from './stops.js';

export const ALL_CHECKS: readonly Check[] = [
  new AtMostOnce(),
  new TrueRefusal(),
  new OwnWholeAnswer(),
  new OneVersion(),
  new StreamsGoOn(),
  new UnchangedRequest(),
  new AnswerInTime(),
  new NoFalseDenial(),
  new MaxAttempts(),
  new TimeHandedOn(),
  new RetryBudget(),
  new NothingForNobody(),
  new RateLimits(),
  new FewFalls(),
  new CrashingRequests(),
  new CrashingParts(),
  new SoundBesideCrashingParts(),
  new Backoffs(),
  new WithdrawnKeys(),
  new LeavingEndpoints(),
  new AnnouncedLeavings(),
  new EvacuatedDataCentres(),
  new TimelyConfiguration(),
  new RisingConfiguration(),
  new OneFigure(),
  new OneHolder(),
  new NothingLost(),
  new ProperEnds(),
  new NoUnhandledError(),
  new ServedWhenCut(),
  new ServedWithMostConnections(),
  new ServesAgain(),
];

/**
 * Returns the findings of all checks, the earliest first.
 *
 * @example
 * const findings = checkAll(history);
 */
export function checkAll(history: History): readonly Finding[] {
  return ALL_CHECKS.flatMap(check => check.find(history)).sort(
    (left, right) => left.atMs - right.atMs,
  );
}
