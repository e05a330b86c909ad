/** Checks change tickets and reports all their faults together. */

import type {Fault} from '@snipestage/errors/request_error.js';
import {pathOf, toFaults} from '@snipestage/errors/schema_faults.js';
import type {
  ChangeTicket,
  ObjectChange,
  ObjectKind,
} from '@snipestage/types/configuration.js';
import {type Revision, brandAs} from '@snipestage/types/ids.js';
import {z} from 'zod';
import {applyChanges, emptyConfiguration} from './configuration.js';
import {idSchemas, objectSchemas} from './object_schemas.js';
import {checkSharedRules} from './references.js';

const MAX_TEXT_LENGTH = 1000;
const NO_REVISION = brandAs<Revision>(0);

function changeOf<Kind extends ObjectKind>(kind: Kind) {
  return z.strictObject({
    kind: z.literal(kind),
    id: idSchemas[kind],
    state: objectSchemas[kind].nullable(),
  });
}

const change = z.discriminatedUnion('kind', [
  changeOf('data_centre'),
  changeOf('request_class'),
  changeOf('client_account'),
  changeOf('model'),
  changeOf('service'),
  changeOf('endpoint'),
  changeOf('endpoint_pool'),
]);

const text = z.string().trim().min(1).max(MAX_TEXT_LENGTH);

/** The schema of a change ticket; unknown fields are faults. */
export const ticketSchema = z.strictObject({
  number: z.int().positive(),
  author: text,
  reason: text,
  changes: z.array(change).min(1, 'must have at least one change'),
});

/** The fields that the rules on ids need; all other fields may be invalid. */
const namedObject = z.object({kind: z.string(), id: z.string()});
const stateWithId = z.object({state: z.object({id: z.string()})});

/** A valid ticket, or all faults of an invalid one. */
export type CheckedTicket =
  {readonly ticket: ChangeTicket} | {readonly faults: readonly Fault[]};

/**
 * Checks a ticket by itself. Its references to other objects are checked
 * against the configuration, see `checkReferences`.
 *
 * @example
 * const checked = checkTicket(JSON.parse(body));
 * if ('faults' in checked) return refuse(checked.faults);
 * submit(checked.ticket);
 */
export function checkTicket(input: unknown): CheckedTicket {
  const result = ticketSchema.safeParse(input);
  const idFaults = findIdFaults(input);
  if (!result.success) {
    return {faults: [...toFaults(result.error.issues), ...idFaults]};
  }
  const ticket = result.data as unknown as ChangeTicket;
  const faults = [...idFaults, ...findSharedFaults(ticket)];
  return faults.length > 0 ? {faults} : {ticket};
}

/** Checks the rules that span objects; maps fault paths to the ticket. */
function findSharedFaults({changes}: ChangeTicket): Fault[] {
  const objects = applyChanges(emptyConfiguration(), changes, NO_REVISION);
  return checkSharedRules(objects).map(({path, message}) => ({
    path: ticketPathOf(path, changes),
    message,
  }));
}

function ticketPathOf(path: string, changes: readonly ObjectChange[]): string {
  const prefixes = changes.map(({kind, id}) => `${kind}/${id}`);
  // Ids may contain dots, so that several prefixes can match; the longest is the
  // right one.
  const [prefix] = prefixes
    .filter(each => path.startsWith(`${each}.`))
    .sort((left, right) => right.length - left.length);
  if (prefix === undefined) return 'changes';
  const state = pathOf(['changes', prefixes.indexOf(prefix), 'state']);
  return state + path.slice(prefix.length);
}

/**
 * Checks the ids in the raw input: the schema skips rules on a whole ticket if
 * one of its fields is invalid, and the operator would see these faults only
 * after fixing the others.
 */
function findIdFaults(input: unknown): Fault[] {
  const ticket = z.object({changes: z.array(z.unknown())}).safeParse(input);
  if (!ticket.success) return [];
  const faults: Fault[] = [];
  const firstIndexes = new Map<string, number>();
  ticket.data.changes.forEach((each, index) => {
    const named = namedObject.safeParse(each);
    if (!named.success) return;
    const objectPath = `${named.data.kind}/${named.data.id}`;
    const firstIndex = firstIndexes.get(objectPath);
    if (firstIndex === undefined) {
      firstIndexes.set(objectPath, index);
    } else {
      faults.push({
        path: pathOf(['changes', index]),
        message: `${objectPath} is already in changes[${firstIndex}]`,
      });
    }
    const stated = stateWithId.safeParse(each);
    if (stated.success && stated.data.state.id !== named.data.id) {
      faults.push({
        path: pathOf(['changes', index, 'state', 'id']),
        message: `must equal the id of the change, ${named.data.id}`,
      });
    }
  });
  return faults;
}
