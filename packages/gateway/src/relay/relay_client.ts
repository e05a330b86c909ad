/** Follows a relay over one stream. */

import {
  credentials,
  makeGenericClientConstructor,
  type Client,
  type ClientReadableStream,
} from '@grpc/grpc-js';
import {
  fromRelayedRow,
  RELAY_SERVICE,
  type FollowRequest,
  type RelayedTableName,
  type RelayUpdate,
} from './relay_messages.js';
import type {TableChanges} from './table_copy.js';

/** What a {@link RelayClient} is made from. */
export interface RelayClientOptions {
  /** `<IP number>:<port>` */
  readonly address: string;
  readonly request: FollowRequest;
  readonly onChanges: (table: RelayedTableName, changes: TableChanges) => void;
  /** Called once: the stream has ended, for this reason. */
  readonly onEnd: (reason: string) => void;
  /** Ends the stream when nothing has come for so long. */
  readonly silentAfterMs: number;
}

interface FollowClient extends Client {
  follow(request: FollowRequest): ClientReadableStream<RelayUpdate>;
}

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
    this.end('closed');
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

  private end(reason: string): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearTimeout(this.silence);
    this.stream.cancel();
    this.client.close();
    this.options.onEnd(reason);
  }
}
