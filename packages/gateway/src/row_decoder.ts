/** Decodes rows of the platform's tables. */

import type {EndpointChange} from '@snipestage/routing/endpoint_directory.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {FollowedRow} from './table_follower.js';

/** Decoded row of the operators' table. */
export type OperatorRow =
  | {
      readonly kind: 'configuration';
      readonly configuration: RoutingConfiguration;
    }
  | {
      readonly kind: 'evacuation';
      readonly dataCentre: DataCentreId;
      /** False when the row was removed: the data centre is restored. */
      readonly isEvacuated: boolean;
    }
  | {readonly kind: 'unreadable'};

/** Turns rows of the platform's tables into the types of routing. */
export abstract class RowDecoder {
  abstract decodeOperatorRow(row: FollowedRow): OperatorRow;
  abstract decodeEndpoint(row: FollowedRow): EndpointChange;
}
