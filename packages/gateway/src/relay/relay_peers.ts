/** Streams of a relay to other relays: one in each data centre. */

import {
  RelayRoster,
  type RelayHolder,
  type RelayRosterOptions,
  type RelaySeat,
} from '@snipestage/routing/relay_roster.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {LoadReport} from './load_report.js';
import type {RelayClient} from './relay_client.js';

/** What {@link RelayPeers} are made from. */
export interface RelayPeersOptions extends RelayRosterOptions {
  readonly nowMs: () => number;
  /** A relay elsewhere says what its data centre hears of loads. */
  readonly onLoads: (report: LoadReport) => void;
}

/** Reports come every half a second, empty ones too. */
const SILENT_AFTER_MS = 5000;
/** Nothing is concluded from what comes back. */
const PING_EVERY_MS = 2000;

/** Owns the streams; in its own data centre there may be a second relay. */
export class RelayPeers {
  private readonly rosters = new Map<DataCentreId, RelayRoster>();
  private readonly clients = new Map<DataCentreId, RelayClient>();

  constructor(private readonly options: RelayPeersOptions) {}

  /** Takes in a seat of any data centre. */
  learn(seat: RelaySeat): void {
    const {dataCentre, holder} = seat;
    const roster =
      this.rosters.get(dataCentre) ??
      new RelayRoster({...this.options, dataCentre});
    this.rosters.set(dataCentre, roster);
    const isOwn = holder?.instance === this.options.instance;
    roster.learn(isOwn ? {...seat, holder: undefined} : seat);
  }

  /** Connects where a stream is missing. */
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
      pingEveryMs: PING_EVERY_MS,
      nowMs,
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
