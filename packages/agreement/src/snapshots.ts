/** The whole configuration at a revision, and what changed between two. */

import type {
  Configuration,
  ConfigurationObjects,
  ObjectChange,
  ObjectKind,
} from '@snipestage/types/configuration.js';
import {brandAs, type Revision} from '@snipestage/types/ids.js';
import type {Row} from '@snipestage/types/table.js';
import {pathOf, type ObjectValue} from './ticket_rows.js';

/** Plain data that peers exchange; objects by path, without removed ones. */
export interface ConfigurationSnapshot {
  readonly revision: Revision;
  readonly objects: Readonly<Record<string, ObjectChange>>;
}

/** Every object that changed after `from` up to `to`, as it is at `to`. */
export interface ConfigurationDelta {
  readonly from: Revision;
  readonly to: Revision;
  readonly changes: readonly ObjectChange[];
}

export const EMPTY_SNAPSHOT: ConfigurationSnapshot = {
  revision: brandAs<Revision>(0),
  objects: {},
};

/**
 * The snapshot that results from a scan of the object rows.
 *
 * @example
 * const snapshot = snapshotFromRows(rows, brandAs<Revision>(head.version));
 */
export function snapshotFromRows(
  rows: readonly Row[],
  revision: Revision,
): ConfigurationSnapshot {
  const changes = rows.map(row => (row.value as ObjectValue).change);
  return {revision, objects: applyChanges({}, changes)};
}

/**
 * Applies a delta that starts at or below the snapshot's revision. Objects are
 * replaced as a whole, so changes that the snapshot already contains do no harm.
 *
 * @example
 * const next = applyDelta(snapshot, delta);
 */
export function applyDelta(
  snapshot: ConfigurationSnapshot,
  delta: ConfigurationDelta,
): ConfigurationSnapshot {
  return {
    revision: delta.to,
    objects: applyChanges(snapshot.objects, delta.changes),
  };
}

/**
 * The delta between two snapshots.
 *
 * @example
 * applyDelta(older, diffSnapshots(older, newer)); // equals newer
 */
export function diffSnapshots(
  older: ConfigurationSnapshot,
  newer: ConfigurationSnapshot,
): ConfigurationDelta {
  const changed = Object.values(newer.objects).filter(
    change =>
      JSON.stringify(older.objects[pathOf(change)]) !== JSON.stringify(change),
  );
  const removed = Object.values(older.objects)
    .filter(change => newer.objects[pathOf(change)] === undefined)
    .map(change => ({...change, state: null}));
  return {
    from: older.revision,
    to: newer.revision,
    changes: [...changed, ...removed],
  };
}

/**
 * Joins consecutive deltas into one from `from` to the last. Undefined if they
 * don't reach back to `from`, or none is newer.
 *
 * @example
 * const delta = joinDeltas(recentDeltas, peerRevision);
 */
export function joinDeltas(
  deltas: readonly ConfigurationDelta[],
  from: Revision,
): ConfigurationDelta | undefined {
  const needed = deltas.filter(delta => delta.to > from);
  if (needed.length === 0 || needed[0].from > from) {
    return undefined;
  }
  const byPath = new Map<string, ObjectChange>();
  for (const change of needed.flatMap(delta => delta.changes)) {
    byPath.set(pathOf(change), change);
  }
  const to = needed[needed.length - 1].to;
  return {from, to, changes: [...byPath.values()]};
}

/**
 * The configuration in the form in which requests use it.
 *
 * @example
 * const {clientAccounts} = buildConfiguration(snapshot);
 */
export function buildConfiguration(
  snapshot: ConfigurationSnapshot,
): Configuration {
  const collect = <Kind extends ObjectKind>(kind: Kind) =>
    new Map(
      Object.values(snapshot.objects)
        .filter(change => change.kind === kind && change.state !== null)
        .map(change => [change.id, change.state as ConfigurationObjects[Kind]]),
    );
  return {
    revision: snapshot.revision,
    dataCentres: collect('data_centre'),
    requestClasses: collect('request_class'),
    clientAccounts: collect('client_account'),
    models: collect('model'),
    services: collect('service'),
    endpoints: collect('endpoint'),
    endpointPools: collect('endpoint_pool'),
  };
}

function applyChanges(
  objects: Readonly<Record<string, ObjectChange>>,
  changes: readonly ObjectChange[],
): Readonly<Record<string, ObjectChange>> {
  const next = {...objects};
  for (const change of changes) {
    if (change.state === null) {
      delete next[pathOf(change)];
    } else {
      next[pathOf(change)] = change;
    }
  }
  return next;
}
