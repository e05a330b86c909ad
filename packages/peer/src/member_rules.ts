/**
 * Decides which of two updates about a member takes precedence, so that
 * instances that received the same updates agree.
 *
 * The higher heartbeat takes precedence, whichever the incarnation: an instance
 * starts with the milliseconds since the epoch, so that a new incarnation is
 * above the old one, and raises its heartbeat above any false update about
 * itself. With equal heartbeats of one incarnation the state of higher rank
 * takes precedence. With equal heartbeats of two incarnations the known update
 * stays until the member itself receives the other one and raises its
 * heartbeat. See SWIM (Das, Gupta, Motivala, 2002), section 4.2.
 */

import type {Member, MemberState} from '@snipestage/types/member.js';

const RANKS: {readonly [State in MemberState]: number} = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/**
 * Whether an update replaces the known one. Revisions are not compared.
 *
 * @example
 * if (isNewer(update, known)) entry.member = update;
 */
export function isNewer(update: Member, known: Member): boolean {
  if (update.heartbeat !== known.heartbeat) {
    return update.heartbeat > known.heartbeat;
  }
  if (update.incarnation !== known.incarnation) return false;
  return RANKS[update.state] > RANKS[known.state];
}

/**
 * Whether `self` must refute an update about itself: one that reports a failure
 * or another incarnation, unless its heartbeat is lower than that of `self`.
 *
 * @example
 * if (needsRefutation(update, self)) heartbeat = update.heartbeat + 1;
 */
export function needsRefutation(update: Member, self: Member): boolean {
  if (update.heartbeat < self.heartbeat) return false;
  if (update.incarnation !== self.incarnation) return true;
  return reportsFailure(update);
}

/**
 * Whether an update reports its member as suspected or dead.
 *
 * @example
 * if (reportsFailure(update)) failureReports.set(update.id, update);
 */
export function reportsFailure({state}: Member): boolean {
  return state === 'suspect' || state === 'dead';
}

/**
 * The state to record for a newer update received from another member. A death
 * that is only reported starts a suspicion, so that the member has time to
 * refute it. A leaving member is dead at once, and one that is held dead here
 * stays dead when another failure report comes.
 *
 * @example
 * // 'suspect' if it was alive
 * resolveReportedState({...update, state: 'dead'}, known);
 */
export function resolveReportedState(
  update: Member,
  known: Member,
): MemberState {
  if (known.state === 'dead' && reportsFailure(update)) return 'dead';
  const isUnconfirmedDeath =
    update.state === 'dead' && known.state !== 'leaving';
  return isUnconfirmedDeath ? 'suspect' : update.state;
}

/** First heartbeat of a new incarnation, see the head of this file. */
export function firstHeartbeat(epochMs: number): number {
  return Math.floor(epochMs);
}
