/**
 * Sends the demand of this instance's cells to the instances that plan
 * endpoints.
 */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {CellOwners} from '../choose/cell_owners.js';
import type {CellPermits} from '../choose/cell_permits.js';
import type {LeaseTask} from '../agree/lease_task.js';
import {measureDemand, type Demand} from './demand.js';
import type {DemandReports} from './demand_reports.js';

const PUBLISH_INTERVAL_MS = 5000;

/** Options of {@link DemandTask}. */
export interface DemandTaskOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly owners: CellOwners;
  readonly permits: CellPermits;
  readonly classes: () => ReadonlyMap<string, RequestClass>;
  readonly demandReports: DemandReports;
  readonly lease: LeaseTask;
  readonly send: (to: InstanceId, demand: Demand) => void;
}

/**
 * Each instance reports to its own data centre's planner, and planners send
 * each other the reported lines of their data centres: a message from every
 * instance to every planner would cost a planner dozens of frames a second at
 * full size.
 */
export class DemandTask {
  private readonly holders = new Map<DataCentreId, InstanceId>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: DemandTaskOptions) {}

  start(): void {
    this.timer = setInterval(() => this.publish(), PUBLISH_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Records which instance has announced that it plans for a data centre. */
  setHolder(dataCentre: DataCentreId, holder: InstanceId): void {
    this.holders.set(dataCentre, holder);
  }

  receive(from: InstanceId, demand: Demand): void {
    this.options.demandReports.set(from, demand);
  }

  private publish(): void {
    const {self, dataCentre, owners, permits, classes, demandReports} =
      this.options;
    const own = measureDemand(owners.snapshot(), permits.cells, classes());
    demandReports.set(self, own);
    const holder = this.holders.get(dataCentre);
    if (this.options.lease.held !== undefined) this.publishToOtherHolders();
    else if (holder !== undefined) this.options.send(holder, own);
  }

  private publishToOtherHolders(): void {
    const {self, dataCentre, demandReports, send} = this.options;
    const sum = demandReports.demandFor(dataCentre);
    for (const [other, holder] of this.holders) {
      if (other !== dataCentre && holder !== self) send(holder, sum);
    }
  }
}
