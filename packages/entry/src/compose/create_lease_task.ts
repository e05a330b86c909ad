/** Creates the task that holds a lease. */

import type {LeaseName} from '@snipestage/types/ids.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Metrics} from '@snipestage/log/metrics.js';
import {rankByRendezvous} from '@snipestage/policy/rendezvous.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import {LeaseTask} from '../agree/lease_task.js';
import type {ClusterView} from '../choose/cluster_view.js';
import {monotonicNowMs} from '../clock.js';
import type {TableExecutor} from '../configure/table_executor.js';

/**
 * Enough that a successor is available; more candidates would only add reads of
 * the lease's row.
 */
const CANDIDATE_COUNT = 3;

/** Options of {@link createLeaseTask}. */
export interface CreateLeaseTaskOptions {
  readonly name: LeaseName;
  readonly settings: EntrySettings;
  readonly executor: TableExecutor;
  readonly view: ClusterView;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The instances among which the candidates for the lease are chosen. */
  readonly eligibleInstances: () => readonly InstanceId[];
}

/**
 * Creates a lease task with the settings' term and margin. Limiting the
 * candidates only saves reads: when several instances try to acquire the lease,
 * the table decides between them.
 *
 * @example
 * const lease = createLeaseTask({name, settings, executor, view, logger,
 *   metrics, eligibleInstances: () => instances});
 */
export function createLeaseTask(options: CreateLeaseTaskOptions): LeaseTask {
  const {name, settings, executor, view, logger, metrics, eligibleInstances} =
    options;
  const {termMs, marginMs, renewEveryMs} = settings.lease;
  const self = settings.instance;
  return new LeaseTask({
    lease: {
      name,
      instance: self,
      incarnation: view.self.incarnation,
      termMs,
      marginMs,
      renewEveryMs,
      pollEveryMs: renewEveryMs,
    },
    executor,
    clock: monotonicNowMs,
    logger: logger.forComponent('lease'),
    metrics,
    isCandidate: () =>
      rankByRendezvous(name, eligibleInstances())
        .slice(0, CANDIDATE_COUNT)
        .includes(self),
  });
}
