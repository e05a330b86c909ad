/** Streams of a relay to one relay in each data centre. */

import {
  RelayRoster,
  type RelayHolder,
  type RelayRosterOptions,
  type RelaySlot,
} from '@snipestage/routing/relay_roster.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {LoadReport} from './load_report.js';
import type {RelayClient} from './relay_client.js';

/** Options of {@link RelayPeers}. */
export interface RelayPeersOptions extends RelayRosterOptions {
  readonly nowMs: () => number;
  /** Readings of another relay's data centre. */
  readonly onLoads: (report: LoadReport) => void;
}

/** Reports arrive every 500 ms, even when empty. */
const SILENT_AFTER_MS = 5000;

/** Owns the streams; this relay's own data centre may have a second relay. */
export class RelayPeers {
  private readonly rosters = new Map<DataCentreId, RelayRoster>();
  private readonly clients = new Map<DataCentreId, RelayClient>();

  constructor(private readonly options: RelayPeersOptions) {}

  /** Records a slot of any data centre. */
  learn(slot: RelaySlot): void {
    const {dataCentre, holder} = slot;
    const roster =
      this.rosters.get(dataCentre) ??
      new RelayRoster({...this.options, dataCentre});
    this.rosters.set(dataCentre, roster);
    const isOwn = holder?.instance === this.options.instance;
    roster.learn(isOwn ? {...slot, holder: undefined} : slot);
  }

  /** Opens missing streams. */
  async connect(): Promise<void> {
    for (const [dataCentre, roster] of this.rosters) {
      if (this.clients.has(dataCentre)) continue;
      const relay = roster.choose(this.options.nowMs());
      if (relay !== undefined) await this.open(dataCentre, relay);
    }
  }

  close(): void {
    for (const client of [...this.clients.values()]) client.close();
  }

  private async open(
    dataCentre: DataCentreId,
    {instance: relay, address}: RelayHolder,
  ): Promise<void> {
    const {instance, nowMs, onLoads} = this.options;
    const {RelayClient} = await import('./relay_client.js');
    const client = new RelayClient({
      address,
      request: {kind: 'exchange', instance},
      silentAfterMs: SILENT_AFTER_MS,
      onChanges: () => undefined,
      onLoads,
      onEnd: ({isOwn}) => {
        this.clients.delete(dataCentre);
        if (!isOwn) this.rosters.get(dataCentre)?.noteFailed(relay, nowMs());
      },
    });
    this.clients.set(dataCentre, client);
  }
}
