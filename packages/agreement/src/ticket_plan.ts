/**
 * The rows on which accepting a ticket depends, and the one transaction that
 * accepts it.
 *
 * Whole-state writes of different objects commute, so tickets on different
 * objects share no checked row: the head row is written unchecked, and its
 * version, which the table raises, orders them. Writes that do not commute are
 * distinguished by kind, after M. Herlihy and W. Weihl, "Hybrid Concurrency
 * Control for Abstract Data Types": a write depends on the last write of the same
 * object (the lower number is superseded), a reference on the removal of the
 * object that it refers to, and a removal on the references to the object. Two
 * references to one object do not depend on each other, nor does a reference on a
 * change that does not remove the object.
 */

import type {
  ChangeTicket,
  ObjectPath,
} from '@snipestage/types/configuration.js';
import type {ChangeTicketNumber} from '@snipestage/types/ids.js';
import type {
  Row,
  RowCheck,
  RowWrite,
  TableTransaction,
} from '@snipestage/types/table.js';
import {digestOf} from './canonical_json.js';
import {findRow} from './table_effects.js';
import {
  HEAD_KEY,
  objectKey,
  pathOf,
  presenceKey,
  referencesKey,
  referencesOf,
  ticketKey,
  type HeadValue,
  type ObjectValue,
  type PresenceValue,
  type TicketValue,
} from './ticket_rows.js';

/**
 * Which rows a ticket's transaction checks: `dependency` only those that the
 * ticket depends on; `global` also the head row, for comparison in measurements.
 */
export type TicketStrategy = 'dependency' | 'global';

/** A reference to an object that would not exist. */
export interface ReferenceFault {
  readonly path: string;
  readonly message: string;
}

/** Why a ticket is not accepted; submitting it again would not help. */
export type TicketRefusal =
  /** A ticket with other content was accepted under the same number. */
  | {readonly kind: 'conflict'}
  | {
      readonly kind: 'superseded';
      readonly path: ObjectPath;
      readonly by: ChangeTicketNumber;
    }
  | {readonly kind: 'invalid'; readonly faults: readonly ReferenceFault[]};

/** What to do with a ticket, given the rows read. */
export type TicketPlan =
  | TicketRefusal
  | {readonly kind: 'commit'; readonly transaction: TableTransaction}
  | {readonly kind: 'already_accepted'};

/**
 * Keys of the rows to read before {@link planTicket}.
 *
 * @example
 * const keys = listTicketKeys(ticket);
 */
export function listTicketKeys(ticket: ChangeTicket): readonly string[] {
  const keys = [HEAD_KEY, ticketKey(ticket.number)];
  for (const change of ticket.changes) {
    const path = pathOf(change);
    keys.push(objectKey(path), presenceKey(path));
    if (change.state === null) {
      keys.push(referencesKey(path));
    }
    keys.push(...referencesOf(change).map(presenceKey));
  }
  return [...new Set(keys)];
}

/**
 * Whether all objects must be read, to find references to a removed one.
 *
 * @example
 * needsObjects(ticket); // false when the ticket removes nothing
 */
export function needsObjects(ticket: ChangeTicket): boolean {
  return ticket.changes.some(change => change.state === null);
}

/**
 * Decides on a ticket. `objects` must be read after `rows`: a reference that
 * `objects` does not show yet then changes the version of a row that the
 * transaction checks.
 *
 * @example
 * const plan = planTicket({ticket, rows, objects: [], strategy: 'dependency'});
 */
export function planTicket(options: {
  readonly ticket: ChangeTicket;
  readonly rows: readonly Row[];
  readonly objects: readonly Row[];
  readonly strategy: TicketStrategy;
}): TicketPlan {
  const {ticket, rows, objects, strategy} = options;
  const accepted = findRow(rows, ticketKey(ticket.number));
  if (accepted.version > 0) {
    return compareWithAccepted(ticket, accepted);
  }
  const newer = findNewerTicket(ticket, rows);
  if (newer !== undefined) {
    return newer;
  }
  const faults = [
    ...findReferencesToMissing(ticket, rows),
    ...findReferencesToRemoved(ticket, objects),
  ];
  if (faults.length > 0) {
    return {kind: 'invalid', faults};
  }
  return {kind: 'commit', transaction: composeCommit(ticket, rows, strategy)};
}

function compareWithAccepted(ticket: ChangeTicket, accepted: Row): TicketPlan {
  const value = accepted.value as TicketValue;
  if (value.digest === digestOf(ticket)) {
    return {kind: 'already_accepted'};
  }
  return {kind: 'conflict'};
}

function findNewerTicket(
  ticket: ChangeTicket,
  rows: readonly Row[],
): TicketPlan | undefined {
  for (const change of ticket.changes) {
    const path = pathOf(change);
    const value = findRow(rows, objectKey(path)).value as ObjectValue | null;
    if (value !== null && value.ticket > ticket.number) {
      return {kind: 'superseded', path, by: value.ticket};
    }
  }
  return undefined;
}

function findReferencesToMissing(
  ticket: ChangeTicket,
  rows: readonly Row[],
): readonly ReferenceFault[] {
  const own = new Map(
    ticket.changes.map(change => [pathOf(change), change.state !== null]),
  );
  return ticket.changes.flatMap((change, index) =>
    referencesOf(change)
      .filter(path => !(own.get(path) ?? isPresent(rows, path)))
      .map(path => ({
        path: `changes[${index}].state`,
        message: `refers to ${path}, which does not exist`,
      })),
  );
}

function findReferencesToRemoved(
  ticket: ChangeTicket,
  objects: readonly Row[],
): readonly ReferenceFault[] {
  const touched = new Set(ticket.changes.map(pathOf));
  const others = objects
    .map(row => (row.value as ObjectValue).change)
    .filter(change => !touched.has(pathOf(change)));
  return ticket.changes.flatMap((change, index) =>
    others
      .filter(
        other =>
          change.state === null && referencesOf(other).includes(pathOf(change)),
      )
      .map(other => ({
        path: `changes[${index}]`,
        message: `removes ${pathOf(change)}, to which ${pathOf(other)} refers`,
      })),
  );
}

function isPresent(rows: readonly Row[], path: ObjectPath): boolean {
  const value = findRow(rows, presenceKey(path)).value as PresenceValue | null;
  return value?.present ?? false;
}

function composeCommit(
  ticket: ChangeTicket,
  rows: readonly Row[],
  strategy: TicketStrategy,
): TableTransaction {
  const unchecked = strategy === 'global' ? [] : [HEAD_KEY];
  const checks: RowCheck[] = listTicketKeys(ticket)
    .filter(key => !unchecked.includes(key))
    .map(key => ({key, version: findRow(rows, key).version}));
  const head: HeadValue = {ticket: ticket.number};
  const accepted: TicketValue = {digest: digestOf(ticket), ticket};
  const writes = new Map<string, RowWrite>();
  const write = (key: string, value: unknown) => writes.set(key, {key, value});
  write(HEAD_KEY, head);
  write(ticketKey(ticket.number), accepted);
  for (const change of ticket.changes) {
    const path = pathOf(change);
    const value: ObjectValue = {ticket: ticket.number, change};
    write(objectKey(path), value);
    const present = change.state !== null;
    if (present !== isPresent(rows, path)) {
      write(presenceKey(path), {present} satisfies PresenceValue);
    }
    for (const reference of referencesOf(change)) {
      write(referencesKey(reference), head);
    }
  }
  return {checks, writes: [...writes.values()]};
}
