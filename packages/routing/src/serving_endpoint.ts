/** An endpoint as the list of endpoints describes it. */

import type {
  Branded,
  DataCentreId,
  EndpointId,
  ServiceId,
} from '@snipestage/types/ids.js';

/** `<IP number>:<port>`. */
export type EndpointAddress = Branded<string, 'EndpointAddress'>;

export interface ServingEndpoint {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: EndpointAddress;
  readonly dataCentre: DataCentreId;
  /** Requests that it works on at once. */
  readonly capacity: number;
  readonly isLeaving: boolean;
  /** May be taken away at short notice. */
  readonly isCheap: boolean;
  /**
   * When this life of it began. An endpoint that starts anew under its old id
   * knows nothing of before.
   */
  readonly bornEpochMs: number | undefined;
  /** How long it stays cold, counted from when it said so (0). */
  readonly warmupLeftMs?: number;
}
