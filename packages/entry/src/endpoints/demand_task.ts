/** Brings the demand of all cells to those who plan endpoints. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {CellOwners} from '../choose/cell_owners.js';
import type {CellPermits} from '../choose/cell_permits.js';
import type {LeaseTask} from '../agree/lease_task.js';
import {measureDemand, type Demand} from './demand.js';
import type {DemandBoard} from './demand_board.js';

const TELL_EVERY_MS = 5000;

/** Options of {@link DemandTask}. */
export interface DemandTaskOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly owners: CellOwners;
  readonly permits: CellPermits;
  readonly classes: () => ReadonlyMap<string, RequestClass>;
  readonly board: DemandBoard;
  readonly lease: LeaseTask;
  readonly send: (to: InstanceId, demand: Demand) => void;
}

/**
 * Each instance tells its own data centre's planner, and planners tell each
 * other their sums: a message to every planner from every instance would cost
 * a planner dozens of frames a second at full size.
 */
export class DemandTask {
  private readonly holders = new Map<DataCentreId, InstanceId>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: DemandTaskOptions) {}

  start(): void {
    this.timer = setInterval(() => this.tell(), TELL_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Who plans for a data centre, as it has told. */
  noteHolder(dataCentre: DataCentreId, holder: InstanceId): void {
    this.holders.set(dataCentre, holder);
  }

  take(from: InstanceId, demand: Demand): void {
    this.options.board.set(from, demand);
  }

  private tell(): void {
    const {self, dataCentre, owners, permits, classes, board} = this.options;
    const own = measureDemand(owners.snapshot(), permits.cells, classes());
    board.set(self, own);
    const holder = this.holders.get(dataCentre);
    if (this.options.lease.held !== undefined) this.tellOtherHolders();
    else if (holder !== undefined) this.options.send(holder, own);
  }

  private tellOtherHolders(): void {
    const {self, dataCentre, board, send} = this.options;
    const sum = board.sumOf(dataCentre);
    for (const [other, holder] of this.holders) {
      if (other !== dataCentre && holder !== self) send(holder, sum);
    }
  }
}
