/** Binds the counting, sealing and reporting of usage. */

import {Logger} from '@snipestage/log/logger.js';
import {Metrics} from '@snipestage/log/metrics.js';
import {PeerNetwork} from '@snipestage/peer/peer_network.js';
import {Platform} from '@snipestage/platform/platform.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import {brandAs, type LeaseName} from '@snipestage/types/ids.js';
import type {Container} from 'inversify';
import {UsageCopies} from '../account/usage_copies.js';
import {UsageCounterTask} from '../account/usage_counter_task.js';
import {UsageReportTask} from '../account/usage_report_task.js';
import {ClaimCleanupTask} from '../admit/claim_cleanup_task.js';
import {ClusterView} from '../choose/cluster_view.js';
import {TableExecutor} from '../configure/table_executor.js';
import {findUsageReplica, toUsageRecord} from '../peers/usage_records.js';
import {createLeaseTask} from './create_lease_task.js';
import {USAGE_LEASE} from './tokens.js';

/**
 * Binds a set of counters per instance, and one reporter for all data centres.
 */
export function bindUsage(container: Container, settings: EntrySettings): void {
  container.bind(UsageCounterTask).toResolvedValue(
    (executor, view, network) =>
      new UsageCounterTask({
        instance: settings.instance,
        incarnation: view.self.incarnation,
        windowMs: settings.usage.windowMs,
        writeEveryMs: settings.usage.writeEveryMs,
        executor,
        findReplica: () => findUsageReplica(view),
        sendCopies: (replica, changes) =>
          network.send(replica, toUsageRecord(changes)),
      }),
    [TableExecutor, ClusterView, PeerNetwork],
  );
  container.bind(UsageCopies).toResolvedValue(
    (platform, view) =>
      new UsageCopies({
        platform,
        isPresent: incarnation =>
          view.present().some(member => member.incarnation === incarnation),
      }),
    [Platform, ClusterView],
  );
  bindReporting(container, settings);
}

function bindReporting(container: Container, settings: EntrySettings): void {
  const name = brandAs<LeaseName>('usage');
  container.bind(USAGE_LEASE).toResolvedValue(
    (executor, view, logger, metrics) =>
      createLeaseTask({
        name,
        settings,
        executor,
        view,
        logger,
        metrics,
        eligibleInstances: () => view.live().map(member => member.id),
      }),
    [TableExecutor, ClusterView, Logger, Metrics],
  );
  container.bind(ClaimCleanupTask).toResolvedValue(
    (lease, platform) =>
      new ClaimCleanupTask({
        platform,
        holdsLease: () => lease.held !== undefined,
      }),
    [USAGE_LEASE, Platform],
  );
  container.bind(UsageReportTask).toResolvedValue(
    (lease, executor, platform, logger, metrics) =>
      new UsageReportTask({
        name,
        lease,
        windowMs: settings.usage.windowMs,
        graceMs: settings.usage.graceMs,
        executor,
        platform,
        logger: logger.forComponent('usage'),
        metrics,
      }),
    [USAGE_LEASE, TableExecutor, Platform, Logger, Metrics],
  );
}
