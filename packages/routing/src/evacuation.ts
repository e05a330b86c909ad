/** Which running streams to move away from an engine that leaves. */

import type {Prompt} from './prompt.js';

/** Where a stream stands. */
export interface StreamProgress {
  readonly prompt: Prompt | undefined;
  readonly tokensPerEvent: number;
  /** Events that the caller has. */
  readonly events: number;
  /** Since the first of them. */
  readonly sinceFirstMs: number;
}

/**
 * A stream that is expected to end within this share of the notice stays: moving
 * costs its memory's way over the link and a pause, and estimates of length are
 * right at the median only.
 */
const STAY_SHARE = 0.6;
/** Past its estimate a stream goes on for about this share of what it has. */
const REST_SHARE_PAST_ESTIMATE = 0.5;

/**
 * Whether a stream will probably be cut when its engine is gone.
 *
 * Engines that are taken away at short notice break off whatever runs on them.
 * A stream that may not be repeated is lost to its caller then, unless its
 * memory moves to another engine, where it goes on as the same run.
 *
 * @param leavesInMs from now until the engine is gone.
 * @example
 * if (shouldMove(progress, 2400)) move();
 */
export function shouldMove(
  progress: StreamProgress,
  leavesInMs: number,
): boolean {
  return expectRestMs(progress) > leavesInMs * STAY_SHARE;
}

function expectRestMs(progress: StreamProgress): number {
  const {prompt, tokensPerEvent, events, sinceFirstMs} = progress;
  const tokens = prompt?.expectedOutputTokens ?? prompt?.maxOutputTokens ?? 0;
  const expectedEvents = tokens / Math.max(1, tokensPerEvent);
  const rest = Math.max(
    expectedEvents - events,
    events * REST_SHARE_PAST_ESTIMATE,
  );
  const msPerEvent = sinceFirstMs / Math.max(1, events - 1);
  return rest * msPerEvent;
}
