/** Connects the process's tasks to the peer network. */

import type {Logger} from '@snipestage/log/logger.js';
import type {PeerNetwork} from '@snipestage/peer/peer_network.js';
import type {PeerRecord} from '@snipestage/peer/records.js';
import type {Platform} from '@snipestage/platform/platform.js';
import {rankByRendezvous} from '@snipestage/policy/rendezvous.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import type {CellPermits} from '../choose/cell_permits.js';
import {instancesIn, type ClusterView} from '../choose/cluster_view.js';
import type {ConfigurationPeers} from './configuration_peers.js';
import {fromPeerRecord} from './permit_records.js';

const READERS_PER_DATA_CENTRE = 2;
const SEED_EVERY_MS = 5000;

/** Handles the records of an extension. */
export type ExtensionHandler = (json: Buffer, from: InstanceId) => void;

/** Options of {@link PeerTask}. */
export interface PeerTaskOptions {
  readonly network: PeerNetwork;
  readonly view: ClusterView;
  readonly platform: Platform;
  readonly permits: CellPermits;
  readonly configuration: ConfigurationPeers;
  readonly logger: Logger;
}

/** Dispatches each peer record to the part that handles it. */
export class PeerTask {
  private readonly extensions = new Map<string, ExtensionHandler>();
  private seedTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerTaskOptions) {
    options.network.onRecords((record, from) => this.receive(record, from.id));
  }

  /**
   * Registers the handler of an extension's records.
   *
   * @example
   * peers.onExtension('usage_copies', (json, from) => store(json, from));
   */
  onExtension(name: string, handler: ExtensionHandler): void {
    this.extensions.set(name, handler);
  }

  async start(): Promise<void> {
    await this.options.network.start();
    this.options.configuration.startConfirming(() => this.rank() === 0);
    void this.seed();
    this.seedTimer = setInterval(() => void this.seed(), SEED_EVERY_MS);
  }

  /** Announces that this instance is leaving, so that it gets nothing new. */
  leave(): void {
    this.options.network.leave();
  }

  /** Resolves when queued records have been sent. */
  async stop(): Promise<void> {
    clearInterval(this.seedTimer);
    this.options.configuration.stop();
    await this.options.network.stop();
  }

  /**
   * Whether this instance reads the table for its data centre. If all did, 380
   * instances would use a fifth of the table's capacity.
   */
  shouldReadTable(): boolean {
    return this.rank() < READERS_PER_DATA_CENTRE;
  }

  private rank(): number {
    const {view} = this.options;
    const {dataCentre, id} = view.self;
    const instances = instancesIn(view.live(), dataCentre);
    const rank = rankByRendezvous(`read/${dataCentre}`, instances).indexOf(id);
    // A leaving instance isn't ranked; it gets changes from the others.
    return rank < 0 ? Number.POSITIVE_INFINITY : rank;
  }

  private async seed(): Promise<void> {
    const {network, platform, view} = this.options;
    const isAlone = view.live().length <= 1;
    if (!isAlone && !this.shouldReadTable()) return;
    const list = await platform.listInstances();
    if (list.kind === 'listed') network.seed(list.items);
  }

  private receive(record: PeerRecord, from: InstanceId): void {
    try {
      this.dispatch(record, from);
    } catch (error) {
      // A peer of another version may send records that can't be read here;
      // they must not end the process.
      const {logger} = this.options;
      logger.warn('peer_record_unreadable', {
        from,
        kind: record.kind,
        error: String(error),
      });
    }
  }

  private dispatch(record: PeerRecord, from: InstanceId): void {
    const {permits, configuration} = this.options;
    const permit = fromPeerRecord(record, from);
    if (permit !== undefined) {
      permits.receive(from, permit);
      return;
    }
    configuration.receive(record, from);
    if (record.kind !== 'extension') return;
    this.extensions.get(record.name)?.(record.json, from);
  }
}
