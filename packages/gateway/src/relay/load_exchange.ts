/** Exchanges load readings and paces with other instances. */

import type {Logger} from '@snipestage/log/logger.js';
import type {
  LoadDrop,
  LoadOrigin,
  LoadView,
} from '@snipestage/routing/load_view.js';
import type {SharedDemand} from '@snipestage/routing/shared_demand.js';
import type {PaceView} from '@snipestage/routing/pace_view.js';
import type {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {DemandExchange} from './demand_exchange.js';
import {
  isEmptyReport,
  readLoadReport,
  readPaces,
  toLoadReport,
  withPaces,
  type DemandLine,
  type LoadReport,
} from './load_report.js';

/** Options of {@link LoadExchange}. */
export interface LoadExchangeOptions {
  readonly view: LoadView;
  /** Demand is exchanged beside the loads; without it none is. */
  readonly demand?: SharedDemand;
  /** Paces are exchanged beside the loads; without it none are. */
  readonly paces?: PaceView;
  readonly metrics: Pick<GatewayMetrics, 'countLoads' | 'countPaces'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly timeline: StoreTimeline;
}

/** What was sent before, to one kind of receiver. */
interface Marks {
  loads: number;
  paces: number;
}

/** Minimum interval between log lines about malformed reports. */
const LOG_EVERY_MS = 10_000;

/**
 * Tracks which readings and paces were sent. Received readings expire in the view, so an
 * instance that loses its relay falls back to its own answers.
 */
export class LoadExchange {
  private readonly toFollowers: Marks = {loads: 0, paces: 0};
  private readonly toRelays: Marks = {loads: 0, paces: 0};
  private readonly toRelay: Marks = {loads: 0, paces: 0};
  private loggedAtMs = Number.NEGATIVE_INFINITY;

  private readonly demands: DemandExchange | undefined;

  constructor(private readonly options: LoadExchangeOptions) {
    const {demand} = options;
    this.demands = demand && new DemandExchange(demand);
  }

  /** What is new of this instance; undefined when nothing is. */
  collectForRelay(): LoadReport | undefined {
    const demands = this.demands?.collectForRelay(this.options.nowMs());
    const report = this.collect(this.toRelay, ['own'], demands);
    return isEmptyReport(report) ? undefined : report;
  }

  /**
   * All that is new for followers, that of this data centre for other relays.
   */
  collectForOthers(): {toFollowers: LoadReport; toRelays: LoadReport} {
    const demands = this.demands?.collectForRelays(this.options.nowMs());
    const toFollowers = this.collectForFollowers();
    const toRelays = this.collect(this.toRelays, ['own', 'local'], demands);
    return {toFollowers, toRelays};
  }

  /** All that is new for followers. */
  collectForFollowers(): LoadReport {
    const demands = this.demands?.collectForFollowers();
    const origins = ['own', 'local', 'remote'] as const;
    return this.collect(this.toFollowers, origins, demands);
  }

  /**
   * Validates a report of another process and adds its readings and paces to
   * the views.
   */
  receive(report: LoadReport, origin: LoadOrigin): void {
    const {view, metrics, nowMs} = this.options;
    const atMs = nowMs();
    const madeAtMs = this.dateOf(report, atMs);
    this.receivePaces(report, origin, madeAtMs);
    this.demands?.receive(report, origin, atMs);
    const {readings, malformed} = readLoadReport(report, madeAtMs);
    if (malformed > 0) {
      metrics.countLoads('malformed', malformed);
      this.logMalformed('loads_malformed', malformed, atMs);
    }
    for (const reading of readings) {
      const drop: LoadDrop | undefined = view.addReported(
        reading,
        origin,
        atMs,
      );
      metrics.countLoads(drop ?? 'taken', 1);
    }
  }

  private receivePaces(
    report: LoadReport,
    origin: LoadOrigin,
    madeAtMs: number,
  ): void {
    const {paces, metrics, nowMs} = this.options;
    if (paces === undefined) return;
    const atMs = nowMs();
    const {samples, malformed} = readPaces(report, madeAtMs);
    if (malformed > 0) {
      metrics.countPaces('malformed', malformed);
      this.logMalformed('paces_malformed', malformed, atMs);
    }
    for (const sample of samples) {
      const drop = paces.addReported(sample, origin, atMs);
      metrics.countPaces(drop ?? 'taken', 1);
    }
  }

  /** What is new since the marks, which are moved. */
  private collect(
    marks: Marks,
    origins: readonly LoadOrigin[],
    demands: readonly DemandLine[] | undefined,
  ): LoadReport {
    const {view, paces, timeline, nowMs} = this.options;
    const atMs = nowMs();
    const loads = view.changesSince(marks.loads, origins, atMs);
    marks.loads = loads.mark;
    const storeMs = timeline.storeClockAt(atMs);
    const report = toLoadReport(loads.readings, atMs, storeMs);
    const changes = paces?.changesSince(marks.paces, origins, atMs);
    marks.paces = changes?.mark ?? marks.paces;
    const withAll = withPaces(report, changes?.samples ?? [], atMs);
    return demands === undefined ? withAll : {...withAll, demands};
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

  private logMalformed(event: string, count: number, atMs: number): void {
    if (atMs - this.loggedAtMs < LOG_EVERY_MS) return;
    this.loggedAtMs = atMs;
    this.options.logger.warn(event, {count});
  }
}
