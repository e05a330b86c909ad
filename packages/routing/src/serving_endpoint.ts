/** An endpoint as the list of endpoints describes it. */

import {isIP} from 'node:net';
import type {
  Branded,
  DataCentreId,
  EndpointId,
  ServiceId,
  SoftwareVersion,
} from '@snipestage/types/ids.js';

/** `<IP address>:<port>`. */
export type EndpointAddress = Branded<string, 'EndpointAddress'>;

const ADDRESS = /^(.+):(\d{1,5})$/;
const MAX_PORT = 65_535;

/**
 * Whether a text of another process is an address that can be connected to.
 *
 * @example
 * isEndpointAddress('10.0.0.1:80'); // true
 * isEndpointAddress('10.0.0.1:99999'); // false
 */
export function isEndpointAddress(text: string): text is EndpointAddress {
  const [, host = '', port = ''] = ADDRESS.exec(text) ?? [];
  return isIP(host) !== 0 && Number(port) >= 1 && Number(port) <= MAX_PORT;
}

export interface ServingEndpoint {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: EndpointAddress;
  readonly dataCentre: DataCentreId;
  /** Undefined where the platform doesn't state it. */
  readonly softwareVersion?: SoftwareVersion;
  /** Requests that it processes at once. */
  readonly capacity: number;
  readonly isLeaving: boolean;
  /** Time until it is taken away, counted from its report (not known). */
  readonly leavesInMs?: number;
  /** May be taken away at short notice. */
  readonly isCheap: boolean;
  /**
   * Start of this incarnation. An endpoint that restarts under its old id has
   * lost its state.
   */
  readonly bornEpochMs: number | undefined;
  /** How long it stays cold, counted from its report (0). */
  readonly warmupLeftMs?: number;
}
