/**
 * Which of two accounts of a member holds, so that instances which heard the
 * same agree. Two incarnations with the same heartbeat are left as they are
 * until the member itself, which hears of it, raises its own.
 *
 * The higher heartbeat holds, whichever the incarnation: an instance starts
 * from the epoch's milliseconds, so that a new life is above the old one, and
 * raises its heartbeat above whatever is said of it that is not so. With equal
 * heartbeats the state of higher rank holds. See SWIM (Das, Gupta, Motivala,
 * 2002), section 4.2.
 */

import type {Member, MemberState} from '@snipestage/types/member.js';

const RANKS: {readonly [State in MemberState]: number} = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/**
 * Whether an account replaces the known one, revision aside.
 *
 * @example
 * if (isNewer(told, known)) entry.member = told;
 */
export function isNewer(told: Member, known: Member): boolean {
  if (told.heartbeat !== known.heartbeat) {
    return told.heartbeat > known.heartbeat;
  }
  if (told.incarnation !== known.incarnation) return false;
  return RANKS[told.state] > RANKS[known.state];
}

/**
 * Whether an account says something of `self` that `self` must correct: that
 * it is failing, or that another life of it is the newer one.
 *
 * @example
 * if (needsRefutation(told, self)) heartbeat = told.heartbeat + 1;
 */
export function needsRefutation(told: Member, self: Member): boolean {
  if (told.heartbeat < self.heartbeat) return false;
  if (told.incarnation !== self.incarnation) return true;
  return told.state === 'suspect' || told.state === 'dead';
}

/** A new life's first heartbeat, see above. */
export function firstHeartbeat(epochMs: number): number {
  return Math.floor(epochMs);
}
