/** Sends the gauges of the process every few seconds. */

import {monitorEventLoopDelay, type IntervalHistogram} from 'node:perf_hooks';
import type {Metrics} from '@snipestage/log/metrics.js';
import type {LeaseTask} from '../agree/lease_task.js';
import type {InFlightRequests} from '../admit/in_flight_requests.js';
import type {CellOwners} from '../choose/cell_owners.js';
import type {ClusterView} from '../choose/cluster_view.js';
import type {SuspectGuard} from '../choose/suspect_guard.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';

const SEND_EVERY_MS = 5000;
const NS_PER_MS = 1_000_000;
const QUANTILES = [50, 99] as const;

/** Options of {@link GaugeTask}. */
export interface GaugeTaskOptions {
  readonly metrics: Metrics;
  readonly store: ConfigurationStore;
  readonly view: ClusterView;
  readonly owners: CellOwners;
  readonly inFlight: InFlightRequests;
  readonly leases: readonly LeaseTask[];
  readonly suspects: SuspectGuard;
}

/** Reads the state of other parts without changing it. */
export class GaugeTask {
  private timer: NodeJS.Timeout | undefined;
  private readonly delay: IntervalHistogram = monitorEventLoopDelay();

  constructor(private readonly options: GaugeTaskOptions) {}

  start(): void {
    this.delay.enable();
    this.timer = setInterval(() => this.send(), SEND_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.delay.disable();
  }

  private send(): void {
    const {metrics, store, owners, leases} = this.options;
    metrics.gauge('revision', store.revision);
    metrics.gauge('cells_owned', owners.count);
    metrics.gauge('resident_bytes', process.memoryUsage.rss());
    for (const lease of leases) {
      const held = lease.held === undefined ? 0 : 1;
      metrics.gauge('lease_held', held, {lease: lease.name});
    }
    this.sendEndpoints();
    this.sendRequests();
    this.sendMembers();
    this.sendDelay();
  }

  private sendEndpoints(): void {
    const {metrics, owners, suspects} = this.options;
    for (const {endpoints} of owners.snapshot()) {
      for (const {endpoint, permits} of endpoints) {
        metrics.gauge('endpoint_limit', permits, {endpoint});
      }
    }
    for (const [state, count] of suspects.countByState()) {
      metrics.gauge('suspects', count, {state});
    }
  }

  private sendRequests(): void {
    const counts = this.options.inFlight.countByClass();
    for (const [id, {waiting, all}] of counts) {
      this.options.metrics.gauge('requests_waiting', waiting, {class: id});
      this.options.metrics.gauge('requests_in_flight', all, {class: id});
    }
  }

  private sendMembers(): void {
    const counts = new Map<string, number>();
    for (const {state} of this.options.view.present()) {
      counts.set(state, (counts.get(state) ?? 0) + 1);
    }
    for (const [state, count] of counts) {
      this.options.metrics.gauge('members', count, {state});
    }
  }

  private sendDelay(): void {
    for (const quantile of QUANTILES) {
      const delayMs = this.delay.percentile(quantile) / NS_PER_MS;
      const tags = {quantile: `p${quantile}`};
      this.options.metrics.gauge('event_loop_delay_ms', delayMs, tags);
    }
    this.delay.reset();
  }
}
