/**
 * Keeps an instance at the newest revision that it received from the table or
 * from peers; the revision never goes down.
 *
 * Table calls: `r` instances that poll every `p` seconds read `r / p` rows a
 * second. If one ticket was accepted between two polls, they read one row more;
 * if several were, one scan and one row. Instances that only receive revisions
 * from peers read nothing.
 */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {Row} from '@snipestage/types/table.js';
import {adoptSnapshot, confirm} from './revision_adoption.js';
import {startPoll, handleReadResult} from './revision_poll.js';
import {
  applyDelta,
  EMPTY_SNAPSHOT,
  joinDeltas,
  type ConfigurationDelta,
  type ConfigurationSnapshot,
} from './snapshots.js';
import type {Step, TableEffect, TableEvent} from './table_effects.js';

/** State of the configuration at an instance. */
export interface RevisionState {
  readonly snapshot: ConfigurationSnapshot;
  /** Whether a snapshot was ever adopted or confirmed; needed to be ready. */
  readonly loaded: boolean;
  /**
   * The last moment at which the snapshot was known to be the newest; shows how
   * long the instance has been cut off.
   */
  readonly confirmedAtMs: number | undefined;
  readonly recentDeltas: readonly ConfigurationDelta[];
  readonly call: number;
  readonly poll: PollState;
}

/** Progress of a poll of the table. */
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

/** Results of table calls, the time to poll, and messages from peers. */
export type RevisionEvent =
  | TableEvent
  | {readonly kind: 'poll'; readonly nowMs: number}
  /** A peer's revision, and how long ago that was known to be the newest. */
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
  /** Apply the snapshot at this instance and send the delta to peers. */
  | {
      readonly kind: 'apply';
      readonly snapshot: ConfigurationSnapshot;
      readonly delta: ConfigurationDelta;
    }
  /** Request the changes after `from`; the peer uses {@link answerPeer}. */
  | {
      readonly kind: 'ask_peer';
      readonly peer: InstanceId;
      readonly from: Revision;
    };

export type RevisionStep = Step<RevisionState, RevisionEffect>;

/**
 * State of an instance that has no configuration yet.
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
 * Handles a poll, the result of a table call, or a message from a peer.
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
      return handlePeerRevision(state, event);
    case 'peer_delta':
      return handlePeerDelta(state, event);
    case 'peer_snapshot':
      return adoptSnapshot(state, event.snapshot);
    case 'read_answered':
      return event.call === state.call
        ? handleReadResult(state, event.result)
        : {state, effects: []};
    default:
      return {state, effects: []};
  }
}

/**
 * What to send to a peer that is at revision `from`: a delta if the recent ones
 * reach back that far, else the snapshot; undefined if the peer is not behind.
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

function handlePeerRevision(
  state: RevisionState,
  event: RevisionEvent & {readonly kind: 'peer_revision'},
): RevisionStep {
  if (event.revision > state.snapshot.revision) {
    return requestFromPeer(state, event.peer);
  }
  if (event.confirmedAgeMs === undefined) {
    return {state, effects: []};
  }
  return {
    state: confirm(state, event.nowMs - event.confirmedAgeMs),
    effects: [],
  };
}

function handlePeerDelta(
  state: RevisionState,
  {delta, peer}: RevisionEvent & {readonly kind: 'peer_delta'},
): RevisionStep {
  return delta.from > state.snapshot.revision
    ? requestFromPeer(state, peer)
    : adoptSnapshot(state, applyDelta(state.snapshot, delta), delta);
}

function requestFromPeer(state: RevisionState, peer: InstanceId): RevisionStep {
  const from = state.snapshot.revision;
  return {state, effects: [{kind: 'ask_peer', peer, from}]};
}
