/** Publishes changes of the store to a relay's followers. */

import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import {Server, ServerCredentials, status} from '@grpc/grpc-js';
import type {Logger} from '@snipestage/log/logger.js';
import {
  readFollowerMessage,
  RELAY_SERVICE,
  RELAYED_TABLES,
  type ExchangeRequest,
  type FollowCall,
  type FollowRequest,
  type RelayedTableName,
  type RecordCall,
  type RecordReply,
  type RelayMessage,
  type WriteCall,
  type WriteReply,
} from './relay_messages.js';
import {isCountsKey} from '../usage_rows.js';
import {isEmptyReport, type LoadReport} from './load_report.js';
import type {TableCopy} from './table_copy.js';
import {UpdateBatch} from './update_batch.js';
import type {RecordBatcher} from '../streams/record_batcher.js';
import {readRecordRows} from '../streams/record_rows.js';
import type {WriteBatcher} from './write_batcher.js';

/** Options of {@link RelayServer}. */
export interface RelayServerOptions {
  /** `<IP address>:<port>` */
  readonly address: string;
  readonly copies: Readonly<Record<RelayedTableName, TableCopy>>;
  readonly writes: WriteBatcher;
  readonly records: RecordBatcher;
  /** Receives the readings that a follower or another relay has sent. */
  readonly onLoads: (report: LoadReport) => void;
  readonly logger: Logger;
}

/**
 * A follower with more bytes buffered receives no further messages until it has
 * read. Later changes go out in one update; the follower polls the store
 * meanwhile, since what it has expires.
 */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Ten times the size of the largest regular message. */
const MAX_MESSAGE_BYTES = 256 * 1024;
/** Interval between log lines on refused writes and messages. */
const LOG_REFUSAL_EVERY_MS = 10_000;

interface Follower {
  readonly call: FollowCall;
  readonly sentVersions: Map<RelayedTableName, StoreVersion>;
  readonly readsCompressed: boolean;
}

/** Owns the listening socket and the streams. */
export class RelayServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  });
  private refusalLoggedAtMs = Number.NEGATIVE_INFINITY;
  private readonly followers = new Set<Follower>();
  /** Streams of the relays of other data centres. */
  private readonly exchanges = new Set<FollowCall>();

  constructor(private readonly options: RelayServerOptions) {
    this.server.addService(RELAY_SERVICE, {
      follow: (call: FollowCall) => this.accept(call),
      write: (call: WriteCall, reply: WriteReply) => {
        void this.write(call, reply);
      },
      record: (call: RecordCall, reply: RecordReply) => {
        void this.record(call, reply);
      },
    });
  }

  get followerCount(): number {
    return this.followers.size;
  }

  /** Rejects when the address can't be bound. */
  async start(): Promise<void> {
    const {address, logger} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.bindAsync(
        address,
        ServerCredentials.createInsecure(),
        error => (error === null ? resolve() : reject(error)),
      );
    });
    logger.info('relay_started', {address});
  }

  /** Ends all streams; their followers switch to another relay. */
  stop(): void {
    for (const {call} of this.followers) call.end();
    for (const call of this.exchanges) call.end();
    this.followers.clear();
    this.exchanges.clear();
    this.server.forceShutdown();
    this.options.logger.info('relay_stopped');
  }

  /**
   * After the store was read, publishes a table's changes or that there are
   * none.
   *
   * @param storeMs the store's clock as it made the answer, if it states it.
   */
  confirm(table: RelayedTableName, storeMs: number | undefined): void {
    const copy = this.options.copies[table];
    const batch = new UpdateBatch({table, copy, storeMs});
    for (const follower of this.followers) {
      this.publish(follower, table, batch);
    }
  }

  /** Sends new readings, except to peers that read too slowly. */
  sendLoads(loads: {
    readonly toFollowers: LoadReport;
    /** Undefined: nothing is sent to them. */
    readonly toRelays?: LoadReport;
  }): void {
    const {toFollowers, toRelays} = loads;
    if (!isEmptyReport(toFollowers)) {
      for (const {call} of this.followers) writeUnlessBehind(call, toFollowers);
    }
    if (toRelays === undefined) return;
    // Empty reports too: a stream without messages counts as lost.
    for (const call of this.exchanges) writeUnlessBehind(call, toRelays);
  }

  /**
   * Writes only rows of counts: leases and plans are rows of the same store.
   */
  private async write(call: WriteCall, reply: WriteReply): Promise<void> {
    if (!isCountsKey(call.request?.key)) {
      this.logRefused('write_refused', call);
      const details = 'relays write counts only';
      reply({code: status.PERMISSION_DENIED, details});
      return;
    }
    const isWanted = () => !call.cancelled;
    const isWritten = await this.options.writes.add(call.request, isWanted);
    reply(null, {isWritten});
  }

  /** Writes only records of streams, each to a row that doesn't exist yet. */
  private async record(call: RecordCall, reply: RecordReply): Promise<void> {
    const records = readRecordRows(call.request?.records);
    if (records === undefined) {
      this.logRefused('records_refused', call);
      reply({code: status.INVALID_ARGUMENT, details: 'no records of streams'});
      return;
    }
    const results = await this.options.records.write(records);
    reply(null, {areWritten: results.map(({kind}) => kind === 'written')});
  }

  private logRefused(
    event: string,
    call: FollowCall | WriteCall | RecordCall,
  ): void {
    const nowMs = performance.now();
    if (nowMs - this.refusalLoggedAtMs < LOG_REFUSAL_EVERY_MS) return;
    this.refusalLoggedAtMs = nowMs;
    this.options.logger.warn(event, {sender: call.getPeer()});
  }

  private accept(call: FollowCall): void {
    let follower: Follower | undefined;
    call.on('data', (data: unknown) => {
      const message = readFollowerMessage(data);
      switch (message?.kind) {
        case 'follow':
          follower ??= this.add(call, message);
          return;
        case 'exchange':
          this.addExchange(call, message);
          return;
        case 'loads':
          this.options.onLoads(message);
          return;
        case 'ping':
          return;
        case undefined:
          this.logRefused('message_refused', call);
          call.emit('error', {code: status.INVALID_ARGUMENT});
      }
    });
    call.on('end', () => call.end());
  }

  private add(
    call: FollowCall,
    {instance, known, readsCompressed = false}: FollowRequest,
  ): Follower {
    const sentVersions = new Map(
      RELAYED_TABLES.map(table => [table, known[table]]),
    );
    const follower = {call, sentVersions, readsCompressed};
    this.followers.add(follower);
    onStreamOver(call, () => {
      const wasThere = this.followers.delete(follower);
      if (wasThere) this.options.logger.info('follower_lost', {instance});
    });
    this.options.logger.info('follower_came', {instance});
    return follower;
  }

  private addExchange(call: FollowCall, {instance}: ExchangeRequest): void {
    this.exchanges.add(call);
    onStreamOver(call, () => this.exchanges.delete(call));
    this.options.logger.info('exchange_begun', {instance});
  }

  private publish(
    {call, sentVersions, readsCompressed}: Follower,
    table: RelayedTableName,
    batch: UpdateBatch,
  ): void {
    const {version} = this.options.copies[table];
    if (version === undefined || isBehind(call)) return;
    const known = sentVersions.get(table) ?? ABSENT;
    call.write(batch.updateSince(known, {isCompressed: readsCompressed}));
    sentVersions.set(table, version);
  }
}

function isBehind(call: FollowCall): boolean {
  return call.writableLength > MAX_BUFFERED_BYTES;
}

function writeUnlessBehind(call: FollowCall, message: RelayMessage): void {
  if (!isBehind(call)) call.write(message);
}

/** Calls `end` when a stream is over, possibly more than once. */
function onStreamOver(call: FollowCall, end: () => void): void {
  call.on('cancelled', end);
  call.on('close', end);
  call.on('error', end);
}
