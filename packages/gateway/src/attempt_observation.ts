/** Reports one attempt to the load correction. */

import type {
  AttemptEnd,
  ObservedAttempt,
} from '@snipestage/routing/load_correction.js';
import type {RoutingState} from './routing_state.js';

/** The end of an attempt that was not carried out to a result. */
export const NOTHING_SHOWN: AttemptEnd = {
  isAnswered: false,
  outcome: undefined,
  pausesMs: [],
  workTimeRatio: undefined,
};

/**
 * Reports the start, the first event and the end of an attempt once each, if
 * the load controls of its service are on at the start.
 */
export class AttemptObservation {
  private readonly isReported: boolean;
  private hasBegun = false;
  private hasEnded = false;

  constructor(
    private readonly state: Pick<RoutingState, 'controls' | 'correction'>,
    private readonly attempt: ObservedAttempt,
  ) {
    this.isReported = state.controls.isOn(attempt.endpoint.service);
    if (this.isReported) state.correction.noteSent(attempt);
  }

  noteEvent(nowMs: number): void {
    if (!this.isReported || this.hasBegun) return;
    this.hasBegun = true;
    this.state.correction.noteFirstEvent(this.attempt, nowMs);
  }

  /** Further calls change nothing. */
  end(end: AttemptEnd, nowMs: number): void {
    if (!this.isReported || this.hasEnded) return;
    this.hasEnded = true;
    this.state.correction.noteEnded(this.attempt, end, nowMs);
  }
}
