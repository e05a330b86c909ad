/** Binds membership and the exchange of records between instances. */

import {Logger} from '@snipestage/log/logger.js';
import {PeerNetwork} from '@snipestage/peer/peer_network.js';
import {Platform} from '@snipestage/platform/platform.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {Container} from 'inversify';
import {CellPermits} from '../choose/cell_permits.js';
import {ClusterView} from '../choose/cluster_view.js';
import {monotonicNowMs} from '../clock.js';
import {RevisionTask} from '../configure/revision_task.js';
import {ConfigurationPeers} from '../peers/configuration_peers.js';
import {PeerClusterView} from '../peers/peer_cluster_view.js';
import {PeerTask} from '../peers/peer_task.js';

export function bindPeers(container: Container, settings: EntrySettings): void {
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
