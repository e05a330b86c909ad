/** Rows that say who relays. */

import type {RelaySeat} from '@snipestage/routing/relay_roster.js';
import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {parseJson} from '../parse_json.js';
import type {FollowedRow} from '../table_follower.js';

/** Value of a seat's row. */
export interface SeatValue {
  readonly instance: InstanceId;
  /** `<IP number>:<port>` */
  readonly address: string;
}

const SEAT = 'relay/';
const SEAT_KEY = /^relay\/(.+)\/(\d+)$/;

/**
 * @example
 * seatKey({dataCentre, number: 0}); // 'shared/relay/akl-a/0'
 */
export function seatKey({
  dataCentre,
  number,
}: Pick<RelaySeat, 'dataCentre' | 'number'>): string {
  return `shared/${SEAT}${dataCentre}/${number}`;
}

/**
 * @returns undefined when the row is about something else.
 * @example
 * const seat = readSeat(row);
 */
export function readSeat(row: FollowedRow): RelaySeat | undefined {
  const match = SEAT_KEY.exec(row.key);
  if (match === null) return undefined;
  const value = parseJson(row.data) as SeatValue | undefined;
  const isWhole =
    typeof value?.instance === 'string' && typeof value.address === 'string';
  return {
    dataCentre: brandAs<DataCentreId>(match[1]),
    number: Number(match[2]),
    holder: isWhole
      ? {
          instance: brandAs<InstanceId>(value.instance),
          address: value.address,
        }
      : undefined,
    version: row.version,
  };
}
