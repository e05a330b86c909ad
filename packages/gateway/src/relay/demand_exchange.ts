/** Passes on what arrived at other instances, each request once. */

import {
  DemandIncrements,
  type DemandIncrement,
  type SharedDemand,
} from '@snipestage/routing/shared_demand.js';
import type {LoadOrigin} from '@snipestage/routing/load_view.js';
import {readDemandLines, toDemandLines} from './demand_report.js';
import type {DemandLine, LoadReport} from './load_report.js';

/**
 * A follower reports to its relay only, and hears of its own requests with those
 * of all others. A relay passes on its own and those of its followers to other
 * relays, and all that it knows to its followers.
 */
export class DemandExchange {
  private readonly toFollowers = new DemandIncrements();
  private readonly toRelays = new DemandIncrements();

  constructor(private readonly demand: SharedDemand) {}

  /** What a follower reports to its relay. */
  collectForRelay(nowMs: number): readonly DemandLine[] | undefined {
    // What was received as a relay, before, is out of date.
    this.toFollowers.take();
    this.toRelays.take();
    return toDemandLines(this.demand.takeOwn(nowMs));
  }

  /** What a relay has received since, and what has arrived at it. */
  collectForRelays(nowMs: number): readonly DemandLine[] | undefined {
    const own = this.demand.takeOwn(nowMs);
    this.demand.addOwn(own, nowMs);
    this.keep(own, 'own');
    return toDemandLines(this.toRelays.take());
  }

  collectForFollowers(): readonly DemandLine[] | undefined {
    return toDemandLines(this.toFollowers.take());
  }

  receive(report: LoadReport, origin: LoadOrigin, nowMs: number): void {
    const increments = readDemandLines(report);
    this.demand.addReported(increments, nowMs);
    this.keep(increments, origin);
  }

  private keep(
    increments: readonly DemandIncrement[],
    origin: LoadOrigin,
  ): void {
    for (const increment of increments) {
      this.toFollowers.add(increment);
      if (origin !== 'remote') this.toRelays.add(increment);
    }
  }
}
