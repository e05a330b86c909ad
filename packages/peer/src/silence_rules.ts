/** What may be concluded from how long a member has not been heard. */

import type {Member} from '@snipestage/types/member.js';

/** A member, and when there was a sign of it. */
export interface KnownMember {
  member: Member;
  /** When a frame last came from the member itself. */
  heardMs: number;
  /** Since when its frames are expected; absent when they are not. */
  watchedMs?: number;
  /** When it last refuted a suspicion. */
  refutedMs: number;
  suspicionWaitMs: number;
  /** When it was first suspected, or found dead. */
  sinceMs: number;
}

/** After how long a member is held dead, and then forgotten. */
export interface SilenceLimits {
  /** Silence after which a watched member is suspected. */
  readonly suspectAfterMs: number;
  /** Silence after which it is held dead. */
  readonly deadAfterMs: number;
  /** How long a dead member is remembered. */
  readonly forgetAfterMs?: number;
}

/** What is to become of a member; `keep`: nothing changes. */
export type SilenceVerdict = 'keep' | 'suspect' | 'dead' | 'forget';

/**
 * Judges the silence of a member.
 *
 * @example
 * if (judgeSilence(known, nowMs, limits) === 'forget') forget(known.member.id);
 */
export function judgeSilence(
  known: KnownMember,
  nowMs: number,
  limits: Required<SilenceLimits>,
): SilenceVerdict {
  const {suspectAfterMs, deadAfterMs, forgetAfterMs} = limits;
  const {member, sinceMs, heardMs, watchedMs, refutedMs} = known;
  if (member.state === 'dead') {
    return nowMs - sinceMs > forgetAfterMs ? 'forget' : 'keep';
  }
  if (member.state === 'suspect') {
    const graceMs = deadAfterMs - suspectAfterMs;
    return nowMs - sinceMs < graceMs ? 'keep' : 'dead';
  }
  // Nobody sends here what is not expected: its silence says nothing.
  if (watchedMs === undefined) return 'keep';
  const silentMs = nowMs - Math.max(heardMs, watchedMs, refutedMs);
  if (member.state === 'leaving') {
    return silentMs < deadAfterMs ? 'keep' : 'dead';
  }
  return silentMs < known.suspicionWaitMs ? 'keep' : 'suspect';
}
