/** Decides the state of a member from how long it has been silent. */

import type {Member} from '@snipestage/types/member.js';

/** A member, and when it was last heard. */
export interface KnownMember {
  member: Member;
  /**
   * When a frame last came from the member itself; -Infinity before any has.
   */
  lastHeardMs: number;
  /** Since when frames are expected from it; absent when none are. */
  watchedSinceMs?: number;
  /** When it last refuted a suspicion; -Infinity before it has. */
  lastRefutedMs: number;
  /**
   * Silence after which it is suspected. Doubles with each refutation, is reset
   * by a frame from the member.
   */
  suspicionWaitMs: number;
  /** When its state last changed; at first when it became known. */
  sinceMs: number;
}

/** Times after which a member is suspected, held dead and forgotten. */
export interface SilenceLimits {
  /** Silence after which a watched member is suspected. */
  readonly suspectAfterMs: number;
  /** Silence after which it is held dead; longer after refuted suspicions. */
  readonly deadAfterMs: number;
  /** How long a dead member is remembered. */
  readonly forgetAfterMs?: number;
}

/** The state change that is due for a member; `keep`: none. */
export type SilenceVerdict = 'keep' | 'suspect' | 'dead' | 'forget';

/**
 * Decides which state change the silence of a member calls for.
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
  const {member, sinceMs, lastHeardMs, watchedSinceMs, lastRefutedMs} = known;
  if (member.state === 'dead') {
    return nowMs - sinceMs > forgetAfterMs ? 'forget' : 'keep';
  }
  if (member.state === 'suspect') {
    const graceMs = deadAfterMs - suspectAfterMs;
    return nowMs - sinceMs < graceMs ? 'keep' : 'dead';
  }
  // Members without a stream to this instance send it no frames: their silence
  // is no evidence.
  if (watchedSinceMs === undefined) return 'keep';
  const silentMs = nowMs - Math.max(lastHeardMs, watchedSinceMs, lastRefutedMs);
  if (member.state === 'leaving') {
    return silentMs < deadAfterMs ? 'keep' : 'dead';
  }
  return silentMs < known.suspicionWaitMs ? 'keep' : 'suspect';
}
