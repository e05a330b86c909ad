/** Decides which of two endpoints keeps a request while one of them is silent. */

/**
 * What happens to a request that an endpoint has, the current one, while a hedged
 * attempt at another endpoint may be in progress.
 *
 * - `silent`: the current endpoint has sent nothing for too long.
 * - `progress`: the current endpoint has begun its answer, or sent an event.
 * - `failed`: the attempt at the current endpoint has failed.
 * - `answered`: the answer of the current endpoint is complete.
 * - `accepted`: the endpoint of the hedged attempt has begun its answer.
 * - `declined`: that endpoint has rejected the request or failed.
 * - `ended`: the caller has left, the request's time is over, or this instance
 *   ends.
 */
export type TakeoverEvent =
  | 'silent'
  | 'progress'
  | 'failed'
  | 'answered'
  | 'accepted'
  | 'declined'
  | 'ended';

/**
 * - `keep`: nothing changes.
 * - `hedge`: send the request to another endpoint, and keep the current attempt.
 * - `withdraw`: cancel the hedged attempt.
 * - `hand_over`: cancel the current attempt; the hedged one becomes current.
 * - `promote`: the hedged attempt becomes current, as the other one has ended.
 * - `settle`: the attempt at the current endpoint decides what follows; an
 *   hedged one is cancelled.
 * - `cancel`: cancel all attempts.
 */
export type TakeoverStep =
  'keep' | 'hedge' | 'withdraw' | 'hand_over' | 'promote' | 'settle' | 'cancel';

/** State of a request when an event comes. */
export interface TakeoverState {
  /** A hedged attempt is in progress and hasn't been answered yet. */
  readonly isHedging: boolean;
  /** The current endpoint has been silent for too long. */
  readonly isSilent: boolean;
  /** An endpoint has taken the request's end out of this decision's hands. */
  readonly isOver: boolean;
}

/**
 * Decides the next step. Until another endpoint has begun its answer, the
 * current attempt goes on: what a full endpoint answers is known only after it
 * got the request. From then on, the current attempt is cancelled at once, so that no
 * two endpoints work on one stream.
 *
 * @example
 * const step = decideTakeover('silent', {isHedging: false, isSilent: true});
 */
export function decideTakeover(
  event: TakeoverEvent,
  {isHedging, isSilent, isOver}: TakeoverState,
): TakeoverStep {
  if (event === 'ended') return 'cancel';
  if (event === 'answered') return 'settle';
  if (event === 'failed') return isHedging ? 'promote' : 'settle';
  if (isOver) return 'keep';
  if (!isHedging) return event === 'silent' ? 'hedge' : 'keep';
  switch (event) {
    case 'progress':
      return 'withdraw';
    case 'accepted':
      return 'hand_over';
    case 'declined':
      return isSilent ? 'hedge' : 'keep';
    default:
      return 'keep';
  }
}
