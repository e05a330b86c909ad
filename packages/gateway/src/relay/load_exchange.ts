/** Exchanges load readings with other instances. */

import type {Logger} from '@snipestage/log/logger.js';
import type {
  LoadDrop,
  LoadOrigin,
  LoadView,
} from '@snipestage/routing/load_view.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {readLoadReport, toLoadReport, type LoadReport} from './load_report.js';

/** Options of {@link LoadExchange}. */
export interface LoadExchangeOptions {
  readonly view: LoadView;
  readonly metrics: Pick<GatewayMetrics, 'countLoads'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
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

  constructor(private readonly options: LoadExchangeOptions) {}

  /** New readings of this instance; undefined when there are none. */
  collectForRelay(): LoadReport | undefined {
    const {view, nowMs} = this.options;
    const atMs = nowMs();
    const changes = view.changesSince(this.toRelayMark, ['own'], atMs);
    this.toRelayMark = changes.mark;
    const {readings} = changes;
    return readings.length === 0 ? undefined : toLoadReport(readings, atMs);
  }

  /**
   * All new readings for followers, those of this data centre for other relays.
   */
  collectForOthers(): {toFollowers: LoadReport; toRelays: LoadReport} {
    const {view, nowMs} = this.options;
    const atMs = nowMs();
    const toFollowers = this.collectForFollowers();
    const local = view.changesSince(this.toRelaysMark, ['own', 'local'], atMs);
    this.toRelaysMark = local.mark;
    return {toFollowers, toRelays: toLoadReport(local.readings, atMs)};
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
    return toLoadReport(all.readings, atMs);
  }

  /**
   * Validates a report of another process and adds its readings to the view.
   */
  receive(report: LoadReport, origin: LoadOrigin): void {
    const {view, metrics, nowMs} = this.options;
    const atMs = nowMs();
    const {readings, malformed} = readLoadReport(report, atMs);
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

  private noteMalformed(count: number, atMs: number): void {
    this.options.metrics.countLoads('malformed', count);
    if (atMs - this.loggedAtMs < LOG_EVERY_MS) return;
    this.loggedAtMs = atMs;
    this.options.logger.warn('loads_malformed', {count});
  }
}
