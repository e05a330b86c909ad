/** Applies the rows that operators write. */

import type {Logger} from '@snipestage/log/logger.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';
import {RouteTable} from '@snipestage/routing/route_table.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {RoutingState} from './routing_state.js';
import type {RowDecoder} from './row_decoder.js';
import type {FollowedRow, RowsOrigin, WholeRead} from './table_follower.js';

/** Options of {@link OperatorRows}. */
export interface OperatorRowsOptions {
  readonly decoder: RowDecoder;
  readonly state: RoutingState;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onConfiguration: (configuration: RoutingConfiguration) => void;
  readonly onEvacuated: (dataCentres: readonly DataCentreId[]) => void;
}

/** Applies configurations and evacuations. */
export class OperatorRows {
  constructor(private readonly options: OperatorRowsOptions) {}

  /**
   * Applies the whole table; data centres without a row are not evacuated. After
   * the store was set back, a row may be missing until it is written again.
   */
  replace(rows: readonly FollowedRow[], {isSetBack, origin}: WholeRead): void {
    const {directory} = this.options.state;
    const evacuated = isSetBack ? directory.listEvacuated() : [];
    this.apply(rows, new Set(evacuated), origin);
  }

  /** Applies changed rows. */
  change(rows: readonly FollowedRow[], origin: RowsOrigin): void {
    const {directory} = this.options.state;
    this.apply(rows, new Set(directory.listEvacuated()), origin);
  }

  /**
   * @param evacuated the data centres that were evacuated before these rows.
   */
  private apply(
    rows: readonly FollowedRow[],
    evacuated: Set<DataCentreId>,
    origin: RowsOrigin,
  ): void {
    for (const row of rows) {
      const operatorRow = this.options.decoder.decodeOperatorRow(row);
      switch (operatorRow.kind) {
        case 'configuration':
          this.applyConfiguration(operatorRow.configuration, row, origin);
          break;
        case 'evacuation':
          if (operatorRow.isEvacuated) evacuated.add(operatorRow.dataCentre);
          else evacuated.delete(operatorRow.dataCentre);
          break;
        case 'unreadable':
          this.options.logger.error('configuration_unreadable', {
            key: row.key,
            rowVersion: row.version,
            inForce: this.options.state.table?.configuration.version,
          });
          break;
      }
    }
    this.applyEvacuations(evacuated);
  }

  /**
   * Ignores a version that isn't newer: it comes from a read that arrived late.
   */
  private applyConfiguration(
    configuration: RoutingConfiguration,
    row: FollowedRow,
    origin: RowsOrigin,
  ): void {
    const before = this.options.state.table?.configuration.version ?? -1;
    if (configuration.version <= before) return;
    this.options.state.table = new RouteTable(configuration);
    this.options.onConfiguration(configuration);
    this.options.logger.info('configuration_applied', {
      version: configuration.version,
      before,
      rowVersion: row.version,
      routes: configuration.routes.length,
      ...origin,
    });
  }

  private applyEvacuations(evacuated: ReadonlySet<DataCentreId>): void {
    const {directory} = this.options.state;
    const before = directory.listEvacuated();
    const isSame =
      before.length === evacuated.size && before.every(id => evacuated.has(id));
    if (isSame) return;
    directory.setEvacuated(evacuated);
    this.options.onEvacuated([...evacuated]);
    this.presumeCold(before.filter(id => !evacuated.has(id)));
    this.options.logger.info('evacuations_applied', {
      evacuated: [...evacuated],
      before,
    });
  }

  /** Endpoints may have become cold while their data centre was evacuated. */
  private presumeCold(restored: readonly DataCentreId[]): void {
    const {state, nowMs} = this.options;
    for (const endpoint of state.directory.readAll()) {
      if (!restored.includes(endpoint.dataCentre)) continue;
      state.warmup.presumeCold(endpoint, nowMs());
    }
  }
}
