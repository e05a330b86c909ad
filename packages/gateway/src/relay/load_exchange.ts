/** Exchanges load readings with other instances. */

import type {Logger} from '@snipestage/log/logger.js';
import type {
  LoadDrop,
  LoadOrigin,
  LoadReading,
  LoadView,
} from '@snipestage/routing/load_view.js';
import type {SharedDemand} from '@snipestage/routing/shared_demand.js';
import type {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {DemandExchange} from './demand_exchange.js';
import {
  readLoadReport,
  toLoadReport,
  type DemandLine,
  type LoadReport,
} from './load_report.js';

/** Options of {@link LoadExchange}. */
export interface LoadExchangeOptions {
  readonly view: LoadView;
  /** Demand is exchanged with the readings; without it none is. */
  readonly demand?: SharedDemand;
  readonly metrics: Pick<GatewayMetrics, 'countLoads'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly timeline: StoreTimeline;
}

/** Minimum interval between log lines about malformed reports. */
const LOG_EVERY_MS = 10_000;

/**
 * Tracks which readings were sent. Received readings expire in the view, so an
 * instance that loses its relay falls back to its own answers.
 */
export class LoadExchange {
  private toFollowersMark = 0;
  private toRelaysMark = 0;
  private toRelayMark = 0;
  private loggedAtMs = Number.NEGATIVE_INFINITY;

  private readonly demands: DemandExchange | undefined;

  constructor(private readonly options: LoadExchangeOptions) {
    const {demand} = options;
    this.demands = demand && new DemandExchange(demand);
  }

  /** New readings of this instance; undefined when there are none. */
  collectForRelay(): LoadReport | undefined {
    const {view, nowMs} = this.options;
    const atMs = nowMs();
    const changes = view.changesSince(this.toRelayMark, ['own'], atMs);
    this.toRelayMark = changes.mark;
    const {readings} = changes;
    const demands = this.demands?.collectForRelay(atMs);
    const isEmpty = readings.length === 0 && demands === undefined;
    return isEmpty ? undefined : this.report(readings, atMs, demands);
  }

  /**
   * All new readings for followers, those of this data centre for other relays.
   */
  collectForOthers(): {toFollowers: LoadReport; toRelays: LoadReport} {
    const {view, nowMs} = this.options;
    const atMs = nowMs();
    const demands = this.demands?.collectForRelays(atMs);
    const toFollowers = this.collectForFollowers();
    const local = view.changesSince(this.toRelaysMark, ['own', 'local'], atMs);
    this.toRelaysMark = local.mark;
    return {
      toFollowers,
      toRelays: this.report(local.readings, atMs, demands),
    };
  }

  /** All new readings for followers. */
  collectForFollowers(): LoadReport {
    const {view, nowMs} = this.options;
    const atMs = nowMs();
    const all = view.changesSince(
      this.toFollowersMark,
      ['own', 'local', 'remote'],
      atMs,
    );
    this.toFollowersMark = all.mark;
    const demands = this.demands?.collectForFollowers();
    return this.report(all.readings, atMs, demands);
  }

  /**
   * Validates a report of another process and adds its readings to the view.
   */
  receive(report: LoadReport, origin: LoadOrigin): void {
    const {view, metrics, nowMs} = this.options;
    const atMs = nowMs();
    const {readings, malformed} = readLoadReport(
      report,
      this.dateOf(report, atMs),
    );
    this.demands?.receive(report, origin, atMs);
    if (malformed > 0) this.noteMalformed(malformed, atMs);
    for (const reading of readings) {
      const drop: LoadDrop | undefined = view.addReported(
        reading,
        origin,
        atMs,
      );
      metrics.countLoads(drop ?? 'taken', 1);
    }
  }

  private report(
    readings: readonly LoadReading[],
    atMs: number,
    demands: readonly DemandLine[] | undefined,
  ): LoadReport {
    const {timeline} = this.options;
    const report = toLoadReport(readings, atMs, timeline.storeClockAt(atMs));
    return demands === undefined ? report : {...report, demands};
  }

  /** When a report was made; its arrival where that isn't known. */
  private dateOf({storeMs}: LoadReport, arrivedAtMs: number): number {
    const {timeline} = this.options;
    const madeAtMs =
      typeof storeMs === 'number'
        ? timeline.dateOf(storeMs, arrivedAtMs)
        : undefined;
    return madeAtMs ?? arrivedAtMs;
  }

  private noteMalformed(count: number, atMs: number): void {
    this.options.metrics.countLoads('malformed', count);
    if (atMs - this.loggedAtMs < LOG_EVERY_MS) return;
    this.loggedAtMs = atMs;
    this.options.logger.warn('loads_malformed', {count});
  }
}
