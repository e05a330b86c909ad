/** Rows in which instances publish where they forward connections. */

import type {
  Forwarder,
  ForwarderAddress,
} from '@snipestage/routing/forwarder_choice.js';
import {isEndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import type {Row} from '@snipestage/types/table.js';

/** Prefix of the rows; a table of its own, which nobody follows. */
export const FORWARDERS_PREFIX = 'forwarders/';

/** Value of an instance's row. */
export interface ForwarderValue {
  readonly dataCentre: DataCentreId;
  readonly address: ForwarderAddress;
}

/**
 * @example
 * forwarderKey('edge-1'); // 'forwarders/edge-1'
 */
export function forwarderKey(instance: InstanceId): string {
  return `${FORWARDERS_PREFIX}${instance}`;
}

/**
 * @returns undefined when the row can't be read.
 * @example
 * const forwarders = rows.map(readForwarder).filter(each => each !== undefined);
 */
export function readForwarder({key, value}: Row): Forwarder | undefined {
  const {dataCentre, address} = (value ?? {}) as Partial<ForwarderValue>;
  const isValid =
    typeof dataCentre === 'string' &&
    typeof address === 'string' &&
    isEndpointAddress(address);
  if (!isValid) return undefined;
  const instance = brandAs<InstanceId>(key.slice(FORWARDERS_PREFIX.length));
  return {instance, dataCentre, address};
}
