/** Turns permit records into peer records and back. */

import type {CellInput} from '@snipestage/policy/cell_messages.js';
import type {PeerRecord} from '@snipestage/peer/records.js';
import type {CellId, InstanceId} from '@snipestage/types/ids.js';
import type {PermitRecord} from '../choose/permit_router.js';

const PERMIT_EXTENSION = 'permit';

/**
 * The peer record for a permit record. Frequent ones have a compact form of
 * their own.
 *
 * @example
 * network.send(owner, toPeerRecord(record));
 */
export function toPeerRecord(record: PermitRecord): PeerRecord {
  if (record.kind === 'to_client') return extend(record);
  const {cell, input} = record;
  switch (input.kind) {
    case 'ask':
      return {kind: 'ask', ask: input.ask};
    case 'withdraw':
      return {kind: 'withdraw', cell, attempt: input.attempt};
    case 'release':
      return {kind: 'release', release: input.release};
    default:
      // Progress and what is in use too: their compact forms lack the times
      // and marks by which an owner learns limits and knows suspects.
      return extend(record);
  }
}

/**
 * The permit record in a peer record; `undefined` when it is something else.
 * What an instance says of itself counts only for the instance that sent it.
 *
 * @example
 * const permit = fromPeerRecord(record, from.id);
 */
export function fromPeerRecord(
  record: PeerRecord,
  from: InstanceId,
): PermitRecord | undefined {
  switch (record.kind) {
    case 'ask':
      return toOwner(record.ask.cell, {
        kind: 'ask',
        ask: {...record.ask, instance: from},
      });
    case 'withdraw':
      return toOwner(record.cell, {kind: 'withdraw', attempt: record.attempt});
    case 'release':
      return toOwner(record.release.cell, {
        kind: 'release',
        instance: from,
        release: record.release,
      });
    case 'extension':
      return record.name === PERMIT_EXTENSION
        ? unextend(record.json, from)
        : undefined;
    default:
      return undefined;
  }
}

function toOwner(cell: CellId, input: CellInput): PermitRecord {
  return {kind: 'to_owner', cell, input};
}

function extend(record: PermitRecord): PeerRecord {
  const json = Buffer.from(JSON.stringify(record));
  return {kind: 'extension', name: PERMIT_EXTENSION, json};
}

function unextend(json: Buffer, from: InstanceId): PermitRecord {
  const record = JSON.parse(json.toString('utf8')) as PermitRecord;
  if (record.kind === 'to_client') return record;
  const input = {...record.input, instance: from} as CellInput;
  return {...record, input};
}
