/** Messages of a tunnel, through which one instance connects for another. */

import type {
  MethodDefinition,
  ServerDuplexStream,
  ServiceDefinition,
} from '@grpc/grpc-js';
import type {EndpointId} from '@snipestage/types/ids.js';
import {parseJson} from '../parse_json.js';

/**
 * Asks for a connection to an endpoint; the first message. The endpoint is
 * named by its id and start, which only the store knows, and not by an address:
 * a process that can't read the store can't use an instance as a proxy.
 */
export interface OpenTunnel {
  readonly kind: 'open';
  readonly endpoint: EndpointId;
  /** Start of the endpoint's incarnation; null where it isn't listed. */
  readonly bornEpochMs: number | null;
  readonly connectTimeoutMs: number;
  /** No request follows, so that the endpoint may be leaving (false). */
  readonly isProbe?: boolean;
}

/** Bytes in either direction. */
export interface TunnelBytes {
  readonly kind: 'bytes';
  readonly bytes: Buffer;
}

/**
 * Why a forwarder opens no connection.
 *
 * - `refused`, `timed_out`: it couldn't reach the endpoint, but reaches others.
 * - `not_serving`: it doesn't know the endpoint, or knows that it is leaving.
 * - `unconfirmed`: as these, but it has reached no other endpoint lately, so that
 *   the cause may be either.
 * - `isolated`: its own links are silent.
 * - `unavailable`: it is stopping or has too many tunnels.
 */
export type TunnelRefusal =
  | 'refused'
  | 'timed_out'
  | 'unconfirmed'
  | 'not_serving'
  | 'isolated'
  | 'unavailable';

/** A reply without bytes. */
export type TunnelSignal =
  | {readonly kind: 'connected'}
  | {readonly kind: 'refused'; readonly reason: TunnelRefusal}
  /** The endpoint closed the connection. */
  | {readonly kind: 'closed'}
  /** The endpoint reset the connection. */
  | {readonly kind: 'reset'};

export type TunnelRequest = OpenTunnel | TunnelBytes;
export type TunnelReply = TunnelSignal | TunnelBytes;
export type TunnelCall = ServerDuplexStream<TunnelRequest, TunnelReply>;

/** First byte of a message. */
const JSON_TAG = 0;
const BYTES_TAG = 1;
const TAGS = {json: Buffer.of(JSON_TAG), bytes: Buffer.of(BYTES_TAG)};

export const TUNNEL_SERVICE: ServiceDefinition<{
  connect: MethodDefinition<TunnelRequest, TunnelReply>;
}> = {
  connect: {
    path: '/snipestage.Forwarder/Connect',
    requestStream: true,
    responseStream: true,
    requestSerialize: serialize,
    requestDeserialize: deserialize<TunnelRequest>,
    responseSerialize: serialize,
    responseDeserialize: deserialize<TunnelReply>,
  },
};

/**
 * Validates the first message of a tunnel.
 *
 * @returns undefined when it doesn't ask for a connection.
 * @example
 * const open = readOpenTunnel(message);
 */
export function readOpenTunnel(message: unknown): OpenTunnel | undefined {
  const fields = (message ?? {}) as Record<string, unknown>;
  const {kind, endpoint, bornEpochMs, connectTimeoutMs} = fields;
  const isValid =
    kind === 'open' &&
    typeof endpoint === 'string' &&
    (bornEpochMs === null || Number.isFinite(bornEpochMs)) &&
    Number.isFinite(connectTimeoutMs);
  return isValid ? (message as OpenTunnel) : undefined;
}

function serialize(message: TunnelRequest | TunnelReply): Buffer {
  return message.kind === 'bytes'
    ? Buffer.concat([TAGS.bytes, message.bytes])
    : Buffer.concat([TAGS.json, Buffer.from(JSON.stringify(message))]);
}

function deserialize<Message>(bytes: Buffer): Message {
  const rest = bytes.subarray(1);
  if (bytes[0] === BYTES_TAG) return {kind: 'bytes', bytes: rest} as Message;
  const message = (parseJson(rest) ?? {}) as Message & {
    readonly kind?: unknown;
  };
  // Bytes have a tag of their own: others would not be bytes.
  return message.kind === 'bytes' ? ({} as Message) : message;
}
