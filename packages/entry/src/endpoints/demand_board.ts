/** The demand that instances have told, as long as it is fresh. */

import type {DemandLine} from '@snipestage/policy/endpoint_plan_input.js';
import type {
  DataCentreId,
  EndpointId,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import type {Demand} from './demand.js';

/** Kept so long, so that the demand of a lost data centre is still served. */
const KEEP_MS = 60_000;

/** One entry an instance. */
export class DemandBoard {
  private readonly told = new Map<InstanceId, {demand: Demand; atMs: number}>();

  constructor(private readonly clock: MonotonicClock) {}

  set(from: InstanceId, demand: Demand): void {
    this.told.set(from, {demand, atMs: this.clock()});
  }

  lines(): DemandLine[] {
    return this.fresh().flatMap(({lines}) => lines);
  }

  /** All that was told of one data centre, as one. */
  sumOf(dataCentre: DataCentreId): Demand {
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
    const oldestMs = this.clock() - KEEP_MS;
    for (const [instance, {atMs}] of this.told) {
      if (atMs < oldestMs) this.told.delete(instance);
    }
    return [...this.told.values()].map(({demand}) => demand);
  }
}
