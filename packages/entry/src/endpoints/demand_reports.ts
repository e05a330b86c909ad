/** The demand reported by instances, while it is fresh. */

import type {DemandLine} from '@snipestage/policy/endpoint_plan_input.js';
import type {
  DataCentreId,
  EndpointId,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import type {Demand} from './demand.js';

/**
 * Reports are kept this long, so that the demand of a lost data centre is still
 * planned for.
 */
const DEMAND_TTL_MS = 60_000;

/** Holds the latest report of each instance. */
export class DemandReports {
  private readonly reports = new Map<
    InstanceId,
    {demand: Demand; atMs: number}
  >();

  constructor(private readonly clock: MonotonicClock) {}

  set(from: InstanceId, demand: Demand): void {
    this.reports.set(from, {demand, atMs: this.clock()});
  }

  lines(): DemandLine[] {
    return this.fresh().flatMap(({lines}) => lines);
  }

  /** The lines for one data centre from all reports, as one demand. */
  demandFor(dataCentre: DataCentreId): Demand {
    const all = this.fresh();
    const isOwn = (line: DemandLine) => line.dataCentre === dataCentre;
    return {
      lines: all.flatMap(({lines}) => lines).filter(isOwn),
      running: [],
    };
  }

  runningAt(endpoint: EndpointId): number {
    let count = 0;
    for (const {running} of this.fresh()) {
      for (const each of running) {
        if (each.endpoint === endpoint) count += each.count;
      }
    }
    return count;
  }

  private fresh(): Demand[] {
    const oldestMs = this.clock() - DEMAND_TTL_MS;
    for (const [instance, {atMs}] of this.reports) {
      if (atMs < oldestMs) this.reports.delete(instance);
    }
    return [...this.reports.values()].map(({demand}) => demand);
  }
}
