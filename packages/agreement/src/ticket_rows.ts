/**
 * The configuration's rows in the platform's table.
 *
 * - `configuration/head`: the last ticket accepted. Its row version is the
 *   revision, so that the table itself puts tickets into one order and readers
 *   find a new revision by polling one row.
 * - `configuration/tickets/<number>`: the ticket as accepted, never rewritten.
 * - `configuration/objects/<kind>/<id>`: state and last ticket; a removed object
 *   stays as a row without state, so that a ticket with a lower number can't
 *   create it again.
 * - `configuration/presence/<kind>/<id>`: written when the object is created or
 *   removed.
 * - `configuration/references/<kind>/<id>`: written, unchecked, by each ticket
 *   that refers to the object.
 */

import type {
  ChangeTicket,
  ObjectChange,
  ObjectPath,
} from '@snipestage/types/configuration.js';
import type {ChangeTicketNumber} from '@snipestage/types/ids.js';

export const HEAD_KEY = 'configuration/head';
export const TICKETS_PREFIX = 'configuration/tickets/';
export const OBJECTS_PREFIX = 'configuration/objects/';
const PRESENCE_PREFIX = 'configuration/presence/';
const REFERENCES_PREFIX = 'configuration/references/';
const NUMBER_DIGITS = 12;

/** Value of the head row. */
export interface HeadValue {
  readonly ticket: ChangeTicketNumber;
}

/** Value of a ticket row. */
export interface TicketValue {
  readonly digest: string;
  readonly ticket: ChangeTicket;
}

/** Value of an object row; a removed object has the state `null`. */
export interface ObjectValue {
  readonly ticket: ChangeTicketNumber;
  readonly change: ObjectChange;
}

/** Value of a presence row. */
export interface PresenceValue {
  readonly present: boolean;
}

/**
 * Key of a ticket's row; scans return tickets in the order of their numbers.
 *
 * @example
 * ticketKey(brandAs<ChangeTicketNumber>(7));
 * // 'configuration/tickets/000000000007'
 */
export function ticketKey(number: ChangeTicketNumber): string {
  return TICKETS_PREFIX + String(number).padStart(NUMBER_DIGITS, '0');
}

/**
 * @example
 * objectKey('model/repair'); // 'configuration/objects/model/repair'
 */
export function objectKey(path: ObjectPath): string {
  return OBJECTS_PREFIX + path;
}

/** Key of the row that changes when the object is created or removed. */
export function presenceKey(path: ObjectPath): string {
  return PRESENCE_PREFIX + path;
}

/** Key of the row that each ticket with a reference to the object writes. */
export function referencesKey(path: ObjectPath): string {
  return REFERENCES_PREFIX + path;
}

/**
 * @example
 * pathOf({kind: 'model', id: 'repair'}); // 'model/repair'
 */
export function pathOf(object: Pick<ObjectChange, 'kind' | 'id'>): ObjectPath {
  return `${object.kind}/${object.id}`;
}

/**
 * The objects that a change's new state refers to; none for a removal.
 *
 * @example
 * referencesOf(accountChange); // ['request_class/counter', …]
 */
export function referencesOf(change: ObjectChange): readonly ObjectPath[] {
  return [...new Set(listReferences(change))];
}

function listReferences(change: ObjectChange): readonly ObjectPath[] {
  if (change.state === null) {
    return [];
  }
  switch (change.kind) {
    case 'client_account':
      return [
        ...change.state.requestClasses,
        change.state.defaultRequestClass,
      ].map(id => pathOf({kind: 'request_class', id}));
    case 'endpoint': {
      const {serves} = change.state;
      const id = serves.kind === 'model' ? serves.model : serves.service;
      return [
        pathOf({kind: 'data_centre', id: change.state.dataCentre}),
        pathOf({kind: serves.kind, id}),
      ];
    }
    case 'endpoint_pool':
      return [
        pathOf({kind: 'data_centre', id: change.state.dataCentre}),
        pathOf({kind: 'model', id: change.state.model}),
      ];
    default:
      return [];
  }
}
