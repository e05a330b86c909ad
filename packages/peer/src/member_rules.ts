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
  return isAccusation(told);
}

/**
 * Whether an account says that its member fails.
 *
 * @example
 * if (isAccusation(told)) accusations.set(told.id, told);
 */
export function isAccusation({state}: Member): boolean {
  return state === 'suspect' || state === 'dead';
}

/**
 * The state that a newer account by another member leads to. A death that was
 * only told of starts a suspicion, so that the member has time to refute it;
 * one that was leaving is gone, and one found dead here stays dead.
 *
 * @example
 * stateOnHearsay({...told, state: 'dead'}, known); // 'suspect' if it was alive
 */
export function stateOnHearsay(told: Member, known: Member): MemberState {
  if (known.state === 'dead' && isAccusation(told)) return 'dead';
  const isDeathOnlyTold = told.state === 'dead' && known.state !== 'leaving';
  return isDeathOnlyTold ? 'suspect' : told.state;
}

/** A new life's first heartbeat, see above. */
export function firstHeartbeat(epochMs: number): number {
  return Math.floor(epochMs);
}
