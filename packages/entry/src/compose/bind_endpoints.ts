/** Binds the endpoints of a data centre. */

import type {LeaseName} from '@snipestage/types/ids.js';
import {createLeaseTask} from './create_lease_task.js';
import {Logger} from '@snipestage/log/logger.js';
import {Metrics} from '@snipestage/log/metrics.js';
import {PeerNetwork} from '@snipestage/peer/peer_network.js';
import {Platform} from '@snipestage/platform/platform.js';
import {brandAs} from '@snipestage/types/ids.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {Container} from 'inversify';
import {OrderTask} from '../agree/order_task.js';
import {CellOwners} from '../choose/cell_owners.js';
import {CellPermits} from '../choose/cell_permits.js';
import {ClusterView, instancesIn} from '../choose/cluster_view.js';
import {monotonicNowMs} from '../clock.js';
import {ConfigurationStore} from '../configure/configuration_store.js';
import {TableExecutor} from '../configure/table_executor.js';
import {DemandReports} from '../endpoints/demand_reports.js';
import {DemandTask} from '../endpoints/demand_task.js';
import {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import {EndpointListTask} from '../endpoints/endpoint_list_task.js';
import {PlanTask} from '../endpoints/plan_task.js';
import {
  toDemandRecord,
  toDrainRecord,
  toListRecord,
} from '../peers/endpoint_records.js';
import {PeerTask} from '../peers/peer_task.js';
import {EngineOrders} from '../send/engine_orders.js';
import {ORDERS_LEASE} from './tokens.js';

/** Binds the endpoints of this data centre: lists, demand, plan and orders. */
export function bindEndpoints(
  container: Container,
  settings: EntrySettings,
): void {
  container
    .bind(EndpointDirectory)
    .toResolvedValue(
      store => new EndpointDirectory(store),
      [ConfigurationStore],
    );
  container
    .bind(DemandReports)
    .toConstantValue(new DemandReports(monotonicNowMs));
  bindLists(container, settings);
  bindDemand(container, settings);
  bindOrders(container, settings);
  bindPlan(container, settings);
}

function bindLists(container: Container, settings: EntrySettings): void {
  container.bind(EndpointListTask).toResolvedValue(
    (platform, directory, network) =>
      new EndpointListTask({
        platform,
        directory,
        dataCentre: settings.dataCentre,
        isReader: () => container.get(PeerTask).shouldReadTable(),
        publish: list => network.broadcast(toListRecord(list)),
        clock: monotonicNowMs,
      }),
    [Platform, EndpointDirectory, PeerNetwork],
  );
}

function bindDemand(container: Container, settings: EntrySettings): void {
  container.bind(DemandTask).toResolvedValue(
    (owners, permits, store, demandReports, lease, network) =>
      new DemandTask({
        self: settings.instance,
        dataCentre: settings.dataCentre,
        owners,
        permits,
        classes: () => store.current.requestClasses,
        demandReports,
        lease,
        send: (to, demand) => network.send(to, toDemandRecord(demand)),
      }),
    [
      CellOwners,
      CellPermits,
      ConfigurationStore,
      DemandReports,
      ORDERS_LEASE,
      PeerNetwork,
    ],
  );
}

function bindOrders(container: Container, settings: EntrySettings): void {
  const name = brandAs<LeaseName>(`orders/${settings.dataCentre}`);
  container.bind(ORDERS_LEASE).toResolvedValue(
    (executor, view, logger, metrics) =>
      createLeaseTask({
        name,
        settings,
        executor,
        view,
        logger,
        metrics,
        eligibleInstances: () => instancesIn(view.live(), settings.dataCentre),
      }),
    [TableExecutor, ClusterView, Logger, Metrics],
  );
  container
    .bind(EngineOrders)
    .toResolvedValue(
      directory => new EngineOrders(id => directory.endpoints.get(id)?.url),
      [EndpointDirectory],
    );
  container.bind(OrderTask).toResolvedValue(
    (lease, executor, platform, engineOrders, logger, metrics) =>
      new OrderTask({
        name,
        lease,
        executor,
        platform,
        engineOrders,
        logger: logger.forComponent('orders'),
        metrics,
      }),
    [ORDERS_LEASE, TableExecutor, Platform, EngineOrders, Logger, Metrics],
  );
}

function bindPlan(container: Container, settings: EntrySettings): void {
  container.bind(PlanTask).toResolvedValue(
    (store, directory, demand, lease, orders, view, network) =>
      new PlanTask({
        dataCentre: settings.dataCentre,
        store,
        directory,
        demand,
        lease,
        orders,
        isReachable: dataCentre =>
          instancesIn(view.live(), dataCentre).length > 0,
        publishDrains: drains => {
          directory.setDrains(drains);
          network.broadcast(toDrainRecord(drains));
        },
      }),
    [
      ConfigurationStore,
      EndpointDirectory,
      DemandReports,
      ORDERS_LEASE,
      OrderTask,
      ClusterView,
      PeerNetwork,
    ],
  );
}
