/** Makes the task that holds a lease. */

import type {LeaseName} from '@snipestage/types/ids.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import type {Logger} from '@snipestage/log/logger.js';
import {rankByRendezvous} from '@snipestage/policy/rendezvous.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import {LeaseTask} from '../agree/lease_task.js';
import type {ClusterView} from '../choose/cluster_view.js';
import {monotonicNowMs} from '../clock.js';
import type {TableExecutor} from '../configure/table_executor.js';

/** Enough for a successor to be there; more would only read the row. */
const CANDIDATES = 3;

/** Options of {@link createLeaseTask}. */
export interface CreateLeaseTaskOptions {
  readonly name: LeaseName;
  readonly settings: EntrySettings;
  readonly executor: TableExecutor;
  readonly view: ClusterView;
  readonly logger: Logger;
  /** The instances of which a few stand for the lease. */
  readonly candidatesAmong: () => readonly InstanceId[];
}

/**
 * A lease task with the settings' term and margin. Who stands for the lease is
 * a matter of economy only: two that both do are told apart by the table.
 *
 * @example
 * const lease = createLeaseTask({name, settings, executor, view, logger,
 *   candidatesAmong: () => instances});
 */
export function createLeaseTask(options: CreateLeaseTaskOptions): LeaseTask {
  const {name, settings, executor, view, logger, candidatesAmong} = options;
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
    isCandidate: () =>
      rankByRendezvous(name, candidatesAmong())
        .slice(0, CANDIDATES)
        .includes(self),
  });
}
