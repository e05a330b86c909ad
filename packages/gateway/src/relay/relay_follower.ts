/** The stream of an instance to the relay of its data centre. */

import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {RelayHolder} from '@snipestage/routing/relay_roster.js';
import type {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import type {LoadReport} from './load_report.js';
import type {RelayClient, RelayEnd} from './relay_client.js';
import type {
  RecordRequest,
  RelayedTableName,
  WriteRequest,
} from './relay_messages.js';
import type {RelayedFeed} from './relayed_feed.js';
import type {TableChanges, TableCopy} from './table_copy.js';

/** Options of {@link RelayFollower}. */
export interface RelayFollowerOptions {
  readonly instance: InstanceId;
  readonly copies: Readonly<Record<RelayedTableName, TableCopy>>;
  readonly feeds: Readonly<Record<RelayedTableName, RelayedFeed>>;
  readonly timeline: StoreTimeline;
  readonly metrics: Pick<GatewayMetrics, 'observeUpdateAge'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onLoads: (report: LoadReport) => void;
  /** The relay could not be reached or stopped responding. */
  readonly onFailed: (relay: InstanceId) => void;
}

/**
 * A stream on which no message has arrived for this long is given up. Until
 * then the store is polled directly. A relay that had no followers first
 * finishes its own poll, which lasts some seconds.
 */
const SILENT_AFTER_MS = 10_000;

/** Owns the stream while there is one. */
export class RelayFollower {
  private client: RelayClient | undefined;
  private isClosed = false;

  constructor(private readonly options: RelayFollowerOptions) {}

  get isFollowing(): boolean {
    return this.client !== undefined;
  }

  async follow(relay: RelayHolder): Promise<void> {
    const {instance, logger, onLoads} = this.options;
    // Loading gRPC takes processor time that most starts don't need.
    const {RelayClient} = await import('./relay_client.js');
    if (this.isClosed) return;
    this.client = new RelayClient({
      address: relay.address,
      request: {
        kind: 'follow',
        instance,
        known: this.readVersions(),
        readsCompressed: true,
      },
      silentAfterMs: SILENT_AFTER_MS,
      onChanges: (table, changes, storeMs) =>
        this.take(table, changes, storeMs),
      onLoads,
      onEnd: reason => this.handleEnd(relay, reason),
    });
    logger.info('relay_followed', {relay: relay.instance});
  }

  /** @returns whether the row is known to be in the store. */
  async write(row: WriteRequest): Promise<boolean> {
    return (await this.client?.write(row)) ?? false;
  }

  /**
   * @returns for each record whether it is known to be in the store; undefined
   *   without a relay that answers.
   */
  async record(
    request: RecordRequest,
  ): Promise<readonly boolean[] | undefined> {
    return this.client?.record(request);
  }

  sendLoads(report: LoadReport): void {
    this.client?.sendLoads(report);
  }

  /** Ends the stream; another relay may be followed. */
  leave(): void {
    this.client?.close();
  }

  /** Ends the stream and refuses new ones. */
  close(): void {
    this.isClosed = true;
    this.leave();
  }

  /** An update may have waited for seconds behind others, here or there. */
  private take(
    table: RelayedTableName,
    changes: TableChanges,
    storeMs: number | undefined,
  ): void {
    const {feeds, timeline, metrics} = this.options;
    const nowMs = this.options.nowMs();
    const asOfMs =
      storeMs === undefined ? undefined : timeline.dateOf(storeMs, nowMs);
    if (asOfMs !== undefined) metrics.observeUpdateAge(table, nowMs - asOfMs);
    feeds[table].take(changes, asOfMs ?? Number.NEGATIVE_INFINITY, nowMs);
  }

  private readVersions(): Record<RelayedTableName, StoreVersion> {
    const {configuration, endpoints, shared} = this.options.copies;
    return {
      configuration: configuration.version ?? ABSENT,
      endpoints: endpoints.version ?? ABSENT,
      shared: shared.version ?? ABSENT,
    };
  }

  private handleEnd({instance}: RelayHolder, reason: RelayEnd): void {
    const {logger, feeds, onFailed} = this.options;
    this.client = undefined;
    logger.warn('relay_lost', {relay: instance, ...reason});
    if (!reason.isOwn) onFailed(instance);
    for (const feed of Object.values(feeds)) feed.close();
  }
}
