/** Follows a relay over one stream. */

import {
  credentials,
  makeGenericClientConstructor,
  type Client,
  type ClientDuplexStream,
  type ServiceError,
} from '@grpc/grpc-js';
import {ReadFirstTimeout} from '@snipestage/connection/read_first_timeout.js';
import {
  fromRelayedRow,
  readRelayMessage,
  RELAY_SERVICE,
  type ExchangeRequest,
  type RecordAnswer,
  type RecordRequest,
  type FollowerMessage,
  type FollowRequest,
  type RelayedTableName,
  type RelayMessage,
  type RelayUpdate,
  type WriteAnswer,
  type WriteRequest,
} from './relay_messages.js';
import type {LoadReport} from './load_report.js';
import type {TableChanges} from './table_copy.js';

/** Why a stream ended. */
export interface RelayEnd {
  readonly reason: string;
  /** Whether this side closed the stream. */
  readonly isOwn: boolean;
}

/** Options of {@link RelayClient}. */
export interface RelayClientOptions {
  /** `<IP address>:<port>` */
  readonly address: string;
  readonly request: FollowRequest | ExchangeRequest;
  /**
   * Receives changes, which reflect the table as of the store's clock at
   * `storeMs`; undefined: not known.
   */
  readonly onChanges: (
    table: RelayedTableName,
    changes: TableChanges,
    storeMs: number | undefined,
  ) => void;
  readonly onLoads: (report: LoadReport) => void;
  /** Called once. */
  readonly onEnd: (end: RelayEnd) => void;
  /** Ends the stream when no message has arrived for this long. */
  readonly silentAfterMs: number;
  /** How long a write may take (1,000 ms). */
  readonly writeTimeoutMs?: number;
  /** How long the write of records may take (300 ms). */
  readonly recordTimeoutMs?: number;
}

interface FollowClient extends Client {
  follow(): ClientDuplexStream<FollowerMessage, RelayMessage>;
  write(
    request: WriteRequest,
    options: {deadline: number},
    done: (error: ServiceError | null, answer?: WriteAnswer) => void,
  ): void;
  record(
    request: RecordRequest,
    options: {deadline: number},
    done: (error: ServiceError | null, answer?: RecordAnswer) => void,
  ): void;
}

/** Twice the time that the batching delay and a transaction take. */
const DEFAULT_WRITE_TIMEOUT_MS = 1000;
/** Whoever waits longer writes the records itself. */
const DEFAULT_RECORD_TIMEOUT_MS = 300;
/** Pings keep a stream active that is quiet otherwise. */
const PING_EVERY_MS = 2000;
const RelayStub = makeGenericClientConstructor(RELAY_SERVICE, 'Relay');

/** Client of a single stream; each stream needs a new one. */
export class RelayClient {
  private readonly client: FollowClient;
  private readonly stream: ClientDuplexStream<FollowerMessage, RelayMessage>;
  private pingCount = 0;
  private readonly pinging: NodeJS.Timeout;
  private silence: ReadFirstTimeout | undefined;
  private hasEnded = false;

  constructor(private readonly options: RelayClientOptions) {
    const {address, request} = options;
    this.client = new RelayStub(
      address,
      credentials.createInsecure(),
    ) as unknown as FollowClient;
    this.stream = this.client.follow();
    this.stream.write(request);
    this.pinging = setInterval(() => this.ping(), PING_EVERY_MS);
    this.stream.on('data', (data: unknown) =>
      this.take(readRelayMessage(data)),
    );
    this.stream.on('error', error => this.end(error.message));
    this.stream.on('end', () => this.end('ended by the relay'));
    this.watchSilence();
  }

  close(): void {
    this.end('closed', true);
  }

  /** @returns whether the row is known to be in the store. */
  write(request: WriteRequest): Promise<boolean> {
    const {writeTimeoutMs = DEFAULT_WRITE_TIMEOUT_MS} = this.options;
    const deadline = Date.now() + writeTimeoutMs;
    return new Promise(resolve => {
      this.client.write(request, {deadline}, (error, answer) =>
        resolve(error === null && answer?.isWritten === true),
      );
    });
  }

  /**
   * @returns for each record whether it is known to be in the store; undefined
   *   when the relay gave no answer.
   */
  record(request: RecordRequest): Promise<readonly boolean[] | undefined> {
    const {recordTimeoutMs = DEFAULT_RECORD_TIMEOUT_MS} = this.options;
    const deadline = Date.now() + recordTimeoutMs;
    return new Promise(resolve => {
      this.client.record(request, {deadline}, (error, answer) => {
        const areWritten = error === null ? answer?.areWritten : undefined;
        resolve(Array.isArray(areWritten) ? areWritten : undefined);
      });
    });
  }

  /**
   * Drops the report when the stream is congested: it would arrive outdated.
   */
  sendLoads(report: LoadReport): void {
    if (!this.stream.writableNeedDrain) this.stream.write(report);
  }

  private ping(): void {
    this.pingCount += 1;
    this.stream.write({kind: 'ping', number: this.pingCount});
  }

  private take(message: RelayMessage | undefined): void {
    if (this.hasEnded) return;
    if (message === undefined) {
      this.end('malformed message');
      return;
    }
    this.watchSilence();
    if (message.kind === 'loads') this.options.onLoads(message);
    else this.takeRows(message);
  }

  private takeRows(update: RelayUpdate): void {
    const {table, since, version, rows, storeMs} = update;
    const changes = {since, version, rows: rows.map(fromRelayedRow)};
    const isStated = Number.isFinite(storeMs);
    this.options.onChanges(table, changes, isStated ? storeMs : undefined);
  }

  /**
   * Restarts the time-out of a stream, which may go silent without an error.
   */
  private watchSilence(): void {
    this.silence?.cancel();
    const {silentAfterMs} = this.options;
    this.silence = new ReadFirstTimeout(
      () => this.end('silent'),
      silentAfterMs,
    );
  }

  private end(reason: string, isOwn = false): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.silence?.cancel();
    clearInterval(this.pinging);
    this.stream.cancel();
    this.client.close();
    this.options.onEnd({reason, isOwn});
  }
}
