/** Binds the platform and the parts that use its table. */

import {Metrics} from '@snipestage/log/metrics.js';
import {HttpPlatform} from '@snipestage/platform/http_platform.js';
import {Platform} from '@snipestage/platform/platform.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {Container} from 'inversify';
import {monotonicNowMs} from '../clock.js';
import {ConfigurationStore} from '../configure/configuration_store.js';
import {MeteredPlatform} from '../configure/metered_platform.js';
import {RevisionTask} from '../configure/revision_task.js';
import {TableExecutor} from '../configure/table_executor.js';
import {TicketService} from '../operate/ticket_service.js';
import {PeerTask} from '../peers/peer_task.js';

export function bindPlatform(
  container: Container,
  settings: EntrySettings,
): void {
  const clock = monotonicNowMs;
  container.bind(Platform).toResolvedValue(
    metrics =>
      new MeteredPlatform({
        platform: new HttpPlatform(settings.platform),
        metrics,
        clock,
      }),
    [Metrics],
  );
  container
    .bind(TableExecutor)
    .toResolvedValue(
      platform => new TableExecutor({platform, clock}),
      [Platform],
    );
  container.bind(RevisionTask).toResolvedValue(
    (store, executor) =>
      new RevisionTask({
        store,
        executor,
        clock,
        pollMs: settings.platform.pollMs,
        shouldPoll: () => container.get(PeerTask).shouldReadTable(),
      }),
    [ConfigurationStore, TableExecutor],
  );
  container
    .bind(TicketService)
    .toResolvedValue(
      (platform, executor, store, revisions) =>
        new TicketService({platform, executor, store, revisions}),
      [Platform, TableExecutor, ConfigurationStore, RevisionTask],
    );
}
