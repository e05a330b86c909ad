/** Converts permit records to peer records and back. */

import type {CellInput} from '@snipestage/policy/cell_messages.js';
import type {PeerRecord} from '@snipestage/peer/records.js';
import type {CellId, InstanceId} from '@snipestage/types/ids.js';
import type {PermitRecord} from '../choose/permit_router.js';

const PERMIT_EXTENSION = 'permit';

/**
 * Returns the peer record for a permit record. Frequent ones have a compact
 * form of their own.
 *
 * @example
 * network.send(owner, toPeerRecord(record));
 */
export function toPeerRecord(record: PermitRecord): PeerRecord {
  if (record.kind === 'to_client') return toExtension(record);
  const {cell, input} = record;
  switch (input.kind) {
    case 'ask':
      return {kind: 'ask', ask: input.ask};
    case 'withdraw':
      return {kind: 'withdraw', cell, attempt: input.attempt};
    case 'release':
      return {kind: 'release', release: input.release};
    default:
      // Includes `progress` and `in_use`: their compact forms lack the times
      // and marks from which an owner learns limits and recognizes suspects.
      return toExtension(record);
  }
}

/**
 * Returns the permit record in a peer record; `undefined` if it is something
 * else. The instance in the record is replaced by the sender, so that no
 * instance can report for another.
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
        ? fromExtension(record.json, from)
        : undefined;
    default:
      return undefined;
  }
}

function toOwner(cell: CellId, input: CellInput): PermitRecord {
  return {kind: 'to_owner', cell, input};
}

function toExtension(record: PermitRecord): PeerRecord {
  const json = Buffer.from(JSON.stringify(record));
  return {kind: 'extension', name: PERMIT_EXTENSION, json};
}

function fromExtension(json: Buffer, from: InstanceId): PermitRecord {
  const record = JSON.parse(json.toString('utf8')) as PermitRecord;
  if (record.kind === 'to_client') return record;
  const input = {...record.input, instance: from} as CellInput;
  return {...record, input};
}
