/** What the parts of a migration share. */

import type {Logger} from '@snipestage/log/logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {RoutingState} from '../routing_state.js';
import type {MemoryClient} from './memory_client.js';

/** Shared by all moves of an instance. */
export interface MigrationContext {
  readonly state: RoutingState;
  readonly client: Pick<MemoryClient, 'copy' | 'release'>;
  readonly metrics: Pick<GatewayMetrics, 'countMigration'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
}
