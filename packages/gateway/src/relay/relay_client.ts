/** Follows a relay over one stream. */

import {
  credentials,
  makeGenericClientConstructor,
  type Client,
  type ClientReadableStream,
  type ServiceError,
} from '@grpc/grpc-js';
import {
  fromRelayedRow,
  RELAY_SERVICE,
  type FollowRequest,
  type RelayedTableName,
  type RelayUpdate,
  type WriteAnswer,
  type WriteRequest,
} from './relay_messages.js';
import type {TableChanges} from './table_copy.js';

/** Why a stream ended. */
export interface RelayEnd {
  readonly reason: string;
  /** This side closed it. */
  readonly isOwn: boolean;
}

/** What a {@link RelayClient} is made from. */
export interface RelayClientOptions {
  /** `<IP number>:<port>` */
  readonly address: string;
  readonly request: FollowRequest;
  readonly onChanges: (table: RelayedTableName, changes: TableChanges) => void;
  /** Called once. */
  readonly onEnd: (end: RelayEnd) => void;
  /** Ends the stream when nothing has come for so long. */
  readonly silentAfterMs: number;
}

interface FollowClient extends Client {
  follow(request: FollowRequest): ClientReadableStream<RelayUpdate>;
  write(
    request: WriteRequest,
    options: {deadline: number},
    done: (error: ServiceError | null, answer?: WriteAnswer) => void,
  ): void;
}

/** Gathering, a transaction and as much again. */
const WRITE_TIMEOUT_MS = 1000;
const RelayStub = makeGenericClientConstructor(RELAY_SERVICE, 'Relay');

/** A new one for each stream. */
export class RelayClient {
  private readonly client: FollowClient;
  private readonly stream: ClientReadableStream<RelayUpdate>;
  private silence: NodeJS.Timeout | undefined;
  private hasEnded = false;

  constructor(private readonly options: RelayClientOptions) {
    const {address, request} = options;
    this.client = new RelayStub(
      address,
      credentials.createInsecure(),
    ) as unknown as FollowClient;
    this.stream = this.client.follow(request);
    this.stream.on('data', (update: RelayUpdate) => this.take(update));
    this.stream.on('error', error => this.end(error.message));
    this.stream.on('end', () => this.end('ended by the relay'));
    this.watchSilence();
  }

  close(): void {
    this.end('closed', true);
  }

  /** @returns whether the store has the row, as far as is known. */
  write(request: WriteRequest): Promise<boolean> {
    const deadline = Date.now() + WRITE_TIMEOUT_MS;
    return new Promise(resolve => {
      this.client.write(request, {deadline}, (error, answer) =>
        resolve(error === null && answer?.isWritten === true),
      );
    });
  }

  private take({table, since, version, rows}: RelayUpdate): void {
    if (this.hasEnded) return;
    this.watchSilence();
    this.options.onChanges(table, {
      since,
      version,
      rows: rows.map(fromRelayedRow),
    });
  }

  /** A stream may go silent for good without an error. */
  private watchSilence(): void {
    clearTimeout(this.silence);
    const {silentAfterMs} = this.options;
    this.silence = setTimeout(() => this.end('silent'), silentAfterMs);
  }

  private end(reason: string, isOwn = false): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearTimeout(this.silence);
    this.stream.cancel();
    this.client.close();
    this.options.onEnd({reason, isOwn});
  }
}
