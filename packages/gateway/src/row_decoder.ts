/** How rows of the platform's tables are read. */

import type {EndpointChange} from '@snipestage/routing/endpoint_directory.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {FollowedRow} from './table_follower.js';

/** What a row of the operators' table says. */
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

/** Turns rows of the platform's tables into the product's types. */
export abstract class RowDecoder {
  abstract decodeOperatorRow(row: FollowedRow): OperatorRow;
  abstract decodeEndpoint(row: FollowedRow): EndpointChange;
}
