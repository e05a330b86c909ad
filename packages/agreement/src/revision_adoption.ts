/** Adopts snapshots, and notes when one was known to be the newest. */

import type {RevisionState, RevisionStep} from './revisions.js';
import {
  diffSnapshots,
  type ConfigurationDelta,
  type ConfigurationSnapshot,
} from './snapshots.js';

const MAX_RECENT_DELTAS = 64;

/** Adopts a snapshot of a higher revision; no other function replaces it. */
export function adoptSnapshot(
  state: RevisionState,
  snapshot: ConfigurationSnapshot,
  knownDelta?: ConfigurationDelta,
): RevisionStep {
  if (snapshot.revision <= state.snapshot.revision) {
    return {state, effects: []};
  }
  const delta = knownDelta ?? diffSnapshots(state.snapshot, snapshot);
  const recentDeltas = [...state.recentDeltas, delta].slice(-MAX_RECENT_DELTAS);
  return {
    state: {...state, snapshot, recentDeltas, loaded: true},
    effects: [{kind: 'apply', snapshot, delta}],
  };
}

/** Notes that the snapshot was the newest at `atMs`, by the process's clock. */
export function confirm(state: RevisionState, atMs: number): RevisionState {
  const confirmedAtMs = Math.max(state.confirmedAtMs ?? -Infinity, atMs);
  return {...state, loaded: true, confirmedAtMs};
}
