/** Messages between a relay and its followers. */

import {constants, deflateSync, inflateSync} from 'node:zlib';
import type {StoreVersion} from '@snipestage/types/store_version.js';
import type {
  MethodDefinition,
  sendUnaryData,
  ServerUnaryCall,
  ServerDuplexStream,
  ServiceDefinition,
} from '@grpc/grpc-js';
import type {InstanceId} from '@snipestage/types/ids.js';
import type {FollowedRow} from '../table_follower.js';
import type {LoadReport} from './load_report.js';

/** The tables that are relayed. */
export const RELAYED_TABLES = ['configuration', 'endpoints', 'shared'] as const;
export type RelayedTableName = (typeof RELAYED_TABLES)[number];

/** Asks for all changes from now on; the first message of a follower. */
export interface FollowRequest {
  readonly kind: 'follow';
  readonly instance: InstanceId;
  /** Versions that are known; 0 where the table was not read yet. */
  readonly known: Readonly<Record<RelayedTableName, StoreVersion>>;
  /** Whether it reads compressed updates (false). */
  readonly readsCompressed?: boolean;
}

/** Keeps the stream active. */
export interface Ping {
  readonly kind: 'ping';
  /** Older versions return it with their updates. */
  readonly number: number;
}

/**
 * Asks for the load readings of a relay's data centre; sent by other relays.
 */
export interface ExchangeRequest {
  readonly kind: 'exchange';
  readonly instance: InstanceId;
}

export type FollowerMessage =
  FollowRequest | ExchangeRequest | Ping | LoadReport;

/** Changes of one table, or a confirmation that there were none. */
export interface RelayUpdate {
  readonly kind: 'rows';
  /** Followers of older versions date an update by it; 0: no date. */
  readonly ping: 0;
  /**
   * The store's clock when it made the answer from which the update was made:
   * the update reflects the table as of then. Undefined: not known.
   */
  readonly storeMs?: number;
  readonly table: RelayedTableName;
  readonly since: StoreVersion;
  readonly version: StoreVersion;
  readonly rows: readonly RelayedRow[];
}

export type RelayMessage = RelayUpdate | LoadReport;

/** An update that is written as it is. */
export interface SerializedUpdate {
  readonly kind: 'serialized';
  readonly bytes: Buffer;
}

/** Wire format of a row. */
export interface RelayedRow {
  readonly key: string;
  readonly version: StoreVersion;
  /** Base64; absent when the row was removed. */
  readonly data?: string;
}

/** Asks the relay to write a row to the store together with those of others. */
export interface WriteRequest {
  readonly key: string;
  readonly value: unknown;
}

/** Whether the row is known to be in the store. */
export interface WriteAnswer {
  readonly isWritten: boolean;
}

/** A row with the record of a stream. */
export interface RecordRow {
  readonly key: string;
  readonly value: unknown;
}

/**
 * Asks the relay to write records of streams, whose rows don't exist yet, together
 * with those of others.
 */
export interface RecordRequest {
  readonly records: readonly RecordRow[];
}

/** For each record, whether it is known to be in the store. */
export interface RecordAnswer {
  readonly areWritten: readonly boolean[];
}

export type RecordCall = ServerUnaryCall<RecordRequest, RecordAnswer>;
export type RecordReply = sendUnaryData<RecordAnswer>;
export type WriteCall = ServerUnaryCall<WriteRequest, WriteAnswer>;
export type WriteReply = sendUnaryData<WriteAnswer>;
export type FollowCall = ServerDuplexStream<
  FollowerMessage,
  RelayMessage | SerializedUpdate
>;

/** A gRPC service whose messages are JSON, as the rows are JSON already. */
export const RELAY_SERVICE: ServiceDefinition<{
  follow: MethodDefinition<FollowerMessage, RelayMessage>;
  write: MethodDefinition<WriteRequest, WriteAnswer>;
  record: MethodDefinition<RecordRequest, RecordAnswer>;
}> = {
  follow: {
    path: '/snipestage.Relay/Follow',
    requestStream: true,
    responseStream: true,
    requestSerialize: serialize,
    requestDeserialize: deserialize<FollowerMessage>,
    responseSerialize: serialize,
    responseDeserialize: deserializeUpdate,
  },
  write: {
    path: '/snipestage.Relay/Write',
    requestStream: false,
    responseStream: false,
    requestSerialize: serialize,
    requestDeserialize: deserialize<WriteRequest>,
    responseSerialize: serialize,
    responseDeserialize: deserialize<WriteAnswer>,
  },
  record: {
    path: '/snipestage.Relay/Record',
    requestStream: false,
    responseStream: false,
    requestSerialize: serialize,
    requestDeserialize: deserialize<RecordRequest>,
    responseSerialize: serialize,
    responseDeserialize: deserialize<RecordAnswer>,
  },
};

export function toRelayedRow({key, version, data}: FollowedRow): RelayedRow {
  return data === undefined
    ? {key, version}
    : {key, version, data: data.toString('base64')};
}

export function fromRelayedRow({key, version, data}: RelayedRow): FollowedRow {
  const bytes = data === undefined ? undefined : Buffer.from(data, 'base64');
  return {key, version, data: bytes};
}

/**
 * Validates a message that a process sent to the relay's port.
 *
 * @returns undefined when it isn't a follower's message.
 * @example
 * const message = readFollowerMessage(JSON.parse(text));
 */
export function readFollowerMessage(
  message: unknown,
): FollowerMessage | undefined {
  const fields = (message ?? {}) as Record<string, unknown>;
  return isFollowerMessage(fields) ? (message as FollowerMessage) : undefined;
}

/**
 * Validates a message of what has the address of a relay.
 *
 * @returns undefined when it isn't a relay's message.
 * @example
 * stream.on('data', data => take(readRelayMessage(data)));
 */
export function readRelayMessage(message: unknown): RelayMessage | undefined {
  const fields = (message ?? {}) as Record<string, unknown>;
  // The lines of a report are validated one by one, when it is read.
  const isValid = fields.kind === 'loads' || isUpdate(fields);
  return isValid ? (message as RelayMessage) : undefined;
}

function isUpdate({
  kind,
  table,
  since,
  version,
  rows,
}: {
  readonly [field: string]: unknown;
}): boolean {
  return (
    kind === 'rows' &&
    RELAYED_TABLES.includes(table as RelayedTableName) &&
    Number.isSafeInteger(since) &&
    Number.isSafeInteger(version) &&
    Array.isArray(rows) &&
    rows.every(isRow)
  );
}

function isRow(row: unknown): boolean {
  const {key, version, data = ''} = (row ?? {}) as Record<string, unknown>;
  return (
    typeof key === 'string' &&
    Number.isSafeInteger(version) &&
    typeof data === 'string'
  );
}

function isFollowerMessage(fields: Record<string, unknown>): boolean {
  const {kind, instance, known, number} = fields;
  switch (kind) {
    case 'follow':
      return typeof instance === 'string' && areVersions(known);
    case 'exchange':
      return typeof instance === 'string';
    case 'ping':
      return Number.isInteger(number);
    default:
      // The lines of a report are validated one by one, when it is read.
      return kind === 'loads';
  }
}

function areVersions(known: unknown): boolean {
  const versions = (known ?? {}) as Record<string, unknown>;
  return RELAYED_TABLES.every(table => Number.isInteger(versions[table]));
}

/** Caches serialized reports: the same report goes to dozens of followers. */
const serializedReports = new WeakMap<object, Buffer>();

/** Smaller updates gain nothing. */
const MIN_COMPRESSED_BYTES = 2000;
/** First byte of JSON text; compressed bytes begin with another one. */
const JSON_BRACE = '{'.charCodeAt(0);

/**
 * Serializes an update for many followers. Rows of endpoints are much alike, so
 * that compression saves nine tenths of what a relay sends when many change.
 *
 * @example
 * const forAll = serializeUpdate(update, {isCompressed: true});
 */
export function serializeUpdate(
  update: RelayUpdate,
  {isCompressed}: {readonly isCompressed: boolean},
): SerializedUpdate {
  const text = Buffer.from(JSON.stringify(update));
  const isWorthwhile = isCompressed && text.length >= MIN_COMPRESSED_BYTES;
  const bytes = isWorthwhile
    ? deflateSync(text, {level: constants.Z_BEST_SPEED})
    : text;
  return {kind: 'serialized', bytes};
}

function serialize(message: object): Buffer {
  if ('kind' in message && message.kind === 'serialized') {
    return (message as SerializedUpdate).bytes;
  }
  const known = serializedReports.get(message);
  if (known !== undefined) return known;
  const bytes = Buffer.from(JSON.stringify(message));
  if ('kind' in message && message.kind === 'loads') {
    serializedReports.set(message, bytes);
  }
  return bytes;
}

function deserializeUpdate(bytes: Buffer): RelayMessage {
  const text = bytes[0] === JSON_BRACE ? bytes : inflateSync(bytes);
  return JSON.parse(text.toString()) as RelayMessage;
}

function deserialize<Message>(bytes: Buffer): Message {
  return JSON.parse(bytes.toString()) as Message;
}
