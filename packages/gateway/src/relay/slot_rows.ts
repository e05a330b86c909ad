/** Rows that hold the relays' slots. */

import type {RelaySlot} from '@snipestage/routing/relay_roster.js';
import {isEndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {parseJson} from '../parse_json.js';
import type {FollowedRow} from '../table_follower.js';

/** Value of a slot's row. */
export interface SlotValue {
  readonly instance: InstanceId;
  /** `<IP address>:<port>` */
  readonly address: string;
}

const SLOT = 'relay/';
const SLOT_KEY = /^relay\/(.+)\/(\d+)$/;

/**
 * @example
 * slotKey({dataCentre, number: 0}); // 'shared/relay/akl-a/0'
 */
export function slotKey({
  dataCentre,
  number,
}: Pick<RelaySlot, 'dataCentre' | 'number'>): string {
  return `shared/${SLOT}${dataCentre}/${number}`;
}

/**
 * @returns undefined when the row isn't a slot's.
 * @example
 * const slot = readSlot(row);
 */
export function readSlot(row: FollowedRow): RelaySlot | undefined {
  const match = SLOT_KEY.exec(row.key);
  if (match === null) return undefined;
  const value = parseJson(row.data) as SlotValue | undefined;
  const isValid =
    typeof value?.instance === 'string' &&
    typeof value.address === 'string' &&
    isEndpointAddress(value.address);
  return {
    dataCentre: brandAs<DataCentreId>(match[1]),
    number: Number(match[2]),
    holder: isValid
      ? {
          instance: brandAs<InstanceId>(value.instance),
          address: value.address,
        }
      : undefined,
    version: row.version,
  };
}
