/** Binds permits, through which endpoints are chosen. */

import {acceptsConnections} from '@snipestage/connection/reachability.js';
import {Logger} from '@snipestage/log/logger.js';
import {Metrics} from '@snipestage/log/metrics.js';
import {PeerNetwork} from '@snipestage/peer/peer_network.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {Container} from 'inversify';
import {StopGate} from '../admit/stop_gate.js';
import {CellClients} from '../choose/cell_clients.js';
import {CellOwners} from '../choose/cell_owners.js';
import {CellPermits} from '../choose/cell_permits.js';
import {ClusterView} from '../choose/cluster_view.js';
import {MeteredPermits} from '../choose/metered_permits.js';
import {PermitRouter} from '../choose/permit_router.js';
import {Permits} from '../choose/permits.js';
import {BackoffPermits} from '../choose/backoff_permits.js';
import {StoppingPermits} from '../choose/stopping_permits.js';
import {SuspectTrials} from '../choose/suspect_trials.js';
import {SuspectGuard} from '../choose/suspect_guard.js';
import {monotonicNowMs} from '../clock.js';
import {ConfigurationStore} from '../configure/configuration_store.js';
import {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import {toPeerRecord} from '../peers/permit_records.js';
import {toSuspectRecord, toTrialRecord} from '../peers/suspect_records.js';

/**
 * Binds the permit router, the owners of this instance's cells, the clients of
 * all cells, and the wrappers around the permits.
 */
export function bindPermits(
  container: Container,
  settings: EntrySettings,
): void {
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
    (store, directory, view, router, owners, clients) =>
      new CellPermits({
        self,
        dataCentre: settings.dataCentre,
        store,
        directory,
        view,
        router,
        owners,
        clients,
        clock,
        tickMs: settings.peer.tickMs,
        endpointsPerCell: settings.routing.endpointsPerCell,
      }),
    [
      ConfigurationStore,
      EndpointDirectory,
      ClusterView,
      PermitRouter,
      CellOwners,
      CellClients,
    ],
  );
  container.bind(SuspectTrials).toResolvedValue(
    network =>
      new SuspectTrials({
        self,
        clock,
        publish: update => network.broadcast(toTrialRecord(update)),
      }),
    [PeerNetwork],
  );
  container.bind(SuspectGuard).toResolvedValue(
    (permits, trials, network, directory, logger) =>
      new SuspectGuard({
        permits: new BackoffPermits({
          permits,
          listEndpoints: () => directory.endpoints.values(),
          clock,
        }),
        trials,
        self,
        incarnation: () => network.self().incarnation,
        clock,
        isReachable: ({url}) => {
          const {hostname, port} = new URL(url);
          return acceptsConnections({host: hostname, port: Number(port)});
        },
        onError: (endpoint, error) =>
          logger
            .forComponent('crashes')
            .error('crash_check_failed', {endpoint, error: String(error)}),
        publish: crashes => network.broadcast(toSuspectRecord(crashes)),
      }),
    [CellPermits, SuspectTrials, PeerNetwork, EndpointDirectory, Logger],
  );
  container.bind(Permits).toResolvedValue(
    (guarded, gate, metrics) =>
      new MeteredPermits({
        permits: new StoppingPermits({permits: guarded, gate}),
        metrics,
        clock,
      }),
    [SuspectGuard, StopGate, Metrics],
  );
}
