/** Puts the process together. */

import 'reflect-metadata';
import {Logger} from '@snipestage/log/logger.js';
import {HttpPlatform} from '@snipestage/platform/http_platform.js';
import {PeerNetwork} from '@snipestage/peer/peer_network.js';
import {Platform} from '@snipestage/platform/platform.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import {Container, type ServiceIdentifier} from 'inversify';
import {UsageCounters} from './account/usage_counters.js';
import {ClaimDesk} from './admit/claim_desk.js';
import {KeptAnswers} from './admit/kept_answers.js';
import {InFlightRequests} from './admit/in_flight_requests.js';
import {RequestIntake} from './admit/request_intake.js';
import {CellClients} from './choose/cell_clients.js';
import {CellOwners} from './choose/cell_owners.js';
import {CellPermits} from './choose/cell_permits.js';
import {ClusterView} from './choose/cluster_view.js';
import {PermitRouter} from './choose/permit_router.js';
import {Permits} from './choose/permits.js';
import {monotonicNowMs} from './clock.js';
import {ConfigurationStore} from './configure/configuration_store.js';
import {RevisionTask} from './configure/revision_task.js';
import {TableExecutor} from './configure/table_executor.js';
import {ModelHandler} from './listen/model_handler.js';
import {ServiceHandler} from './listen/service_handler.js';
import {StateDump} from './operate/state_dump.js';
import {TicketDesk} from './operate/ticket_desk.js';
import {ConfigurationPeers} from './peers/configuration_peers.js';
import {PeerClusterView} from './peers/peer_cluster_view.js';
import {PeerTask} from './peers/peer_task.js';
import {toPeerRecord} from './peers/permit_records.js';
import {EngineDriver} from './send/engine_driver.js';
import {HttpEngineDriver} from './send/http_engine_driver.js';
import {HttpServiceDriver} from './send/http_service_driver.js';
import {LimitedRetries} from './send/limited_retries.js';
import {ModelRunner} from './send/model_runner.js';
import {RetryPolicy} from './send/retry_policy.js';
import {ServiceDriver} from './send/service_driver.js';
import {ServiceRunner} from './send/service_runner.js';

export const SETTINGS: ServiceIdentifier<EntrySettings> = Symbol('Settings');
/** Asked by the intake; bound by the process that knows. */
export const IS_READY: ServiceIdentifier<() => boolean> = Symbol('IsReady');

/**
 * Binds every part of the process to how it is made.
 *
 * @example
 * const container = createContainer(settings, () => process.isReady);
 * const intake = container.get(RequestIntake);
 */
export function createContainer(
  settings: EntrySettings,
  isReady: () => boolean,
): Container {
  const container = new Container({defaultScope: 'Singleton'});
  container.bind(SETTINGS).toConstantValue(settings);
  container.bind(IS_READY).toConstantValue(isReady);
  container.bind(Logger).toConstantValue(
    new Logger({
      component: 'entry',
      fields: {instance: settings.instance},
    }),
  );
  container.bind(UsageCounters).toConstantValue(new UsageCounters());
  container.bind(InFlightRequests).toConstantValue(new InFlightRequests());
  container.bind(ConfigurationStore).toConstantValue(new ConfigurationStore());
  container.bind(StateDump).toConstantValue(new StateDump());
  bindPlatform(container, settings);
  bindPeers(container, settings);
  bindClaims(container);
  bindPermits(container, settings);
  bindSending(container, settings);
  bindHandlers(container, settings);
  return container;
}

function bindPeers(container: Container, settings: EntrySettings): void {
  container.bind(PeerNetwork).toResolvedValue(
    logger => {
      const peerLogger = logger.forComponent('peer');
      return new PeerNetwork({
        settings: settings.peer,
        id: settings.instance,
        dataCentre: settings.dataCentre,
        log: (event, fields) => peerLogger.info(event, fields),
      });
    },
    [Logger],
  );
  container
    .bind(ClusterView)
    .toResolvedValue(network => new PeerClusterView(network), [PeerNetwork]);
  container
    .bind(ConfigurationPeers)
    .toResolvedValue(
      (network, revisions) =>
        new ConfigurationPeers({network, revisions, clock: monotonicNowMs}),
      [PeerNetwork, RevisionTask],
    );
  container.bind(PeerTask).toResolvedValue(
    (network, view, platform, permits, configuration, logger) =>
      new PeerTask({
        network,
        view,
        platform,
        permits,
        configuration,
        logger: logger.forComponent('peer'),
      }),
    [
      PeerNetwork,
      ClusterView,
      Platform,
      CellPermits,
      ConfigurationPeers,
      Logger,
    ],
  );
}

function bindPlatform(container: Container, settings: EntrySettings): void {
  const clock = monotonicNowMs;
  container.bind(Platform).toConstantValue(new HttpPlatform(settings.platform));
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
      }),
    [ConfigurationStore, TableExecutor],
  );
  container
    .bind(TicketDesk)
    .toResolvedValue(
      (platform, executor, store, revisions) =>
        new TicketDesk({platform, executor, store, revisions}),
      [Platform, TableExecutor, ConfigurationStore, RevisionTask],
    );
}

function bindSending(container: Container, settings: EntrySettings): void {
  const clock = monotonicNowMs;
  const {connectTimeoutMs, chunkTimeoutMs} = settings.routing;
  container
    .bind(EngineDriver)
    .toConstantValue(new HttpEngineDriver({connectTimeoutMs}));
  container
    .bind(ServiceDriver)
    .toConstantValue(new HttpServiceDriver({connectTimeoutMs}));
  container.bind(RetryPolicy).toConstantValue(new LimitedRetries());
  container
    .bind(ModelRunner)
    .toResolvedValue(
      (permits, driver, retryPolicy) =>
        new ModelRunner({permits, driver, retryPolicy, clock, chunkTimeoutMs}),
      [Permits, EngineDriver, RetryPolicy],
    );
  container
    .bind(ServiceRunner)
    .toResolvedValue(
      (permits, driver, retryPolicy) =>
        new ServiceRunner({permits, driver, retryPolicy, clock}),
      [Permits, ServiceDriver, RetryPolicy],
    );
}

function bindClaims(container: Container): void {
  container
    .bind(KeptAnswers)
    .toResolvedValue(platform => new KeptAnswers(platform), [Platform]);
  container
    .bind(ClaimDesk)
    .toResolvedValue(
      (executor, view, answers) => new ClaimDesk({executor, view, answers}),
      [TableExecutor, ClusterView, KeptAnswers],
    );
}

/** Permits: the router, the owned cells and the clients of all others. */
function bindPermits(container: Container, settings: EntrySettings): void {
  const clock = monotonicNowMs;
  const self = settings.instance;
  const {policy, maxWaitingPerCell: maxWaiting} = settings.routing;
  container.bind(PermitRouter).toResolvedValue(
    network =>
      new PermitRouter({
        self,
        sendRemote: (to, record) => network.send(to, toPeerRecord(record)),
      }),
    [PeerNetwork],
  );
  container
    .bind(CellOwners)
    .toResolvedValue(
      router => new CellOwners({self, router, clock, policy, maxWaiting}),
      [PermitRouter],
    );
  container
    .bind(CellClients)
    .toResolvedValue(
      router => new CellClients({self, router, clock, policy, maxWaiting}),
      [PermitRouter],
    );
  container.bind(CellPermits).toResolvedValue(
    (store, view, router, owners, clients) =>
      new CellPermits({
        self,
        dataCentre: settings.dataCentre,
        store,
        view,
        router,
        owners,
        clients,
        clock,
        tickMs: settings.peer.tickMs,
        endpointsPerCell: settings.routing.endpointsPerCell,
      }),
    [ConfigurationStore, ClusterView, PermitRouter, CellOwners, CellClients],
  );
  container.bind(Permits).toService(CellPermits);
}

function bindHandlers(container: Container, settings: EntrySettings): void {
  const {maxBodyBytes} = settings.callers;
  container.bind(RequestIntake).toResolvedValue(
    (store, inFlight, logger, isReady) =>
      new RequestIntake({
        store,
        inFlight,
        clock: monotonicNowMs,
        logger: logger.forComponent('callers'),
        isReady,
      }),
    [ConfigurationStore, InFlightRequests, Logger, IS_READY],
  );
  container
    .bind(ModelHandler)
    .toResolvedValue(
      (store, runner, claims, usage) =>
        new ModelHandler({store, runner, claims, usage, maxBodyBytes}),
      [ConfigurationStore, ModelRunner, ClaimDesk, UsageCounters],
    );
  container
    .bind(ServiceHandler)
    .toResolvedValue(
      (store, runner, claims, usage) =>
        new ServiceHandler({store, runner, claims, usage, maxBodyBytes}),
      [ConfigurationStore, ServiceRunner, ClaimDesk, UsageCounters],
    );
}
