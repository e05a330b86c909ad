/**
 * Keeps an instance at the newest revision that it has heard of, from the table
 * or from peers, and never goes back.
 *
 * Store calls: `r` instances that poll every `p` seconds read `r / p` rows a
 * second. For each ticket they meet alone they read one row more; for several
 * tickets between two polls, one scan and one row. Instances that hear of
 * revisions from peers read nothing.
 */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {Row} from '@snipestage/types/table.js';
import {adoptSnapshot, confirm} from './revision_adoption.js';
import {startPoll, takeRows} from './revision_poll.js';
import {
  applyDelta,
  EMPTY_SNAPSHOT,
  joinDeltas,
  type ConfigurationDelta,
  type ConfigurationSnapshot,
} from './snapshots.js';
import type {Step, TableEffect, TableEvent} from './table_effects.js';

/** What an instance knows of the configuration. */
export interface RevisionState {
  readonly snapshot: ConfigurationSnapshot;
  /** Whether anything was ever learnt; without it an instance isn't ready. */
  readonly loaded: boolean;
  /**
   * The last moment at which the snapshot was known to be the newest; says how
   * long the instance has been cut off.
   */
  readonly confirmedAtMs: number | undefined;
  readonly recentDeltas: readonly ConfigurationDelta[];
  readonly call: number;
  readonly poll: PollState;
}

/** Where the reading of the table stands. */
export type PollState =
  | {readonly phase: 'idle'}
  | {readonly phase: 'reading_head'; readonly sentAtMs: number}
  | {
      readonly phase: 'reading_ticket';
      readonly sentAtMs: number;
      readonly head: Row;
    }
  | {
      readonly phase: 'scanning';
      readonly sentAtMs: number;
      readonly head: Row;
      readonly scans: number;
    }
  | {
      readonly phase: 'confirming';
      readonly sentAtMs: number;
      readonly head: Row;
      readonly scans: number;
      readonly objects: readonly Row[];
    };

/** What an instance hears about revisions, besides the table's answers. */
export type RevisionEvent =
  | TableEvent
  | {readonly kind: 'poll'; readonly nowMs: number}
  /** A peer tells its revision and how long ago it was known to be newest. */
  | {
      readonly kind: 'peer_revision';
      readonly peer: InstanceId;
      readonly revision: Revision;
      readonly confirmedAgeMs: number | undefined;
      readonly nowMs: number;
    }
  | {
      readonly kind: 'peer_delta';
      readonly peer: InstanceId;
      readonly delta: ConfigurationDelta;
      readonly nowMs: number;
    }
  | {
      readonly kind: 'peer_snapshot';
      readonly snapshot: ConfigurationSnapshot;
      readonly nowMs: number;
    };

export type RevisionEffect =
  | TableEffect
  /** Put it in force here and push it to peers. */
  | {
      readonly kind: 'apply';
      readonly snapshot: ConfigurationSnapshot;
      readonly delta: ConfigurationDelta;
    }
  /** Ask the peer for what came after `from`; see {@link answerPeer}. */
  | {
      readonly kind: 'ask_peer';
      readonly peer: InstanceId;
      readonly from: Revision;
    };

export type RevisionStep = Step<RevisionState, RevisionEffect>;

/**
 * An instance that knows nothing yet.
 *
 * @example
 * let state = beginRevisions();
 */
export function beginRevisions(): RevisionState {
  return {
    snapshot: EMPTY_SNAPSHOT,
    loaded: false,
    confirmedAtMs: undefined,
    recentDeltas: [],
    call: 0,
    poll: {phase: 'idle'},
  };
}

/**
 * Takes in what was heard.
 *
 * @example
 * const {state, effects} = transitionRevisions(before, {kind: 'poll', nowMs});
 */
export function transitionRevisions(
  state: RevisionState,
  event: RevisionEvent,
): RevisionStep {
  switch (event.kind) {
    case 'poll':
      return startPoll(state, event.nowMs);
    case 'peer_revision':
      return hearRevision(state, event);
    case 'peer_delta':
      return hearDelta(state, event);
    case 'peer_snapshot':
      return adoptSnapshot(state, event.snapshot);
    case 'read_answered':
      return event.call === state.call
        ? takeRows(state, event.result)
        : {state, effects: []};
    default:
      return {state, effects: []};
  }
}

/**
 * What to hand a peer that is at `from`: a delta if recent ones reach back that
 * far, else everything; nothing if the peer is as new.
 *
 * @example
 * const answer = answerPeer(state, peerRevision);
 */
export function answerPeer(
  state: RevisionState,
  from: Revision,
): ConfigurationDelta | ConfigurationSnapshot | undefined {
  if (from >= state.snapshot.revision) {
    return undefined;
  }
  return joinDeltas(state.recentDeltas, from) ?? state.snapshot;
}

function hearRevision(
  state: RevisionState,
  event: RevisionEvent & {readonly kind: 'peer_revision'},
): RevisionStep {
  if (event.revision > state.snapshot.revision) {
    return askPeer(state, event.peer);
  }
  if (event.confirmedAgeMs === undefined) {
    return {state, effects: []};
  }
  return {
    state: confirm(state, event.nowMs - event.confirmedAgeMs),
    effects: [],
  };
}

function hearDelta(
  state: RevisionState,
  {delta, peer}: RevisionEvent & {readonly kind: 'peer_delta'},
): RevisionStep {
  return delta.from > state.snapshot.revision
    ? askPeer(state, peer)
    : adoptSnapshot(state, applyDelta(state.snapshot, delta), delta);
}

function askPeer(state: RevisionState, peer: InstanceId): RevisionStep {
  const from = state.snapshot.revision;
  return {state, effects: [{kind: 'ask_peer', peer, from}]};
}
