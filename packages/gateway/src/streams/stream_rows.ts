/** Rows for software versions of services and of streams. */

import {createHash} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import type {StreamOrigin} from '@snipestage/routing/stream_origin.js';
import {
  brandAs,
  type Branded,
  type ClientAccountId,
  type RequestId,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';

/** Digest of a client account and of the attempt that began a stream. */
export type StreamKey = Branded<string, 'StreamKey'>;

/** One request that may begin a stream; others may name the same attempt. */
export type StreamRun = Branded<string, 'StreamRun'>;

const STREAMS = 'streams/';
const VERSIONS = 'versions/';
const SHARED = 'shared/';
const MAX_ATTEMPT_ID_CHARACTERS = 200;
const KEY_CHARACTERS = 32;
const MAX_RUN_CHARACTERS = 64;
const STREAM_ROW_KEY = /^streams\/[0-9a-f]{32}$/;

/** What is recorded of a stream. */
export type RecordedOrigin =
  | {
      readonly kind: 'origin';
      readonly origin: StreamOrigin;
      /** The request that it was recorded for before it began, if any. */
      readonly run?: StreamRun;
    }
  /** Attempts of the same id have begun streams at different versions. */
  | {readonly kind: 'ambiguous'};

interface StreamValue {
  readonly service?: string;
  readonly version?: string;
  readonly run?: string;
  readonly isAmbiguous?: boolean;
}

interface VersionsValue {
  readonly versions?: readonly string[];
}

/**
 * Attempts are told apart by client account, so that no caller learns of the
 * streams of another.
 *
 * @returns undefined when the id is none that a stream is recorded for.
 * @example
 * const key = streamKeyOf(admission.clientAccount, caller.resumes);
 */
export function streamKeyOf(
  clientAccount: ClientAccountId | undefined,
  attempt: RequestId | undefined,
): StreamKey | undefined {
  const length = attempt?.length ?? 0;
  if (length === 0 || length > MAX_ATTEMPT_ID_CHARACTERS) return undefined;
  const digest = createHash('sha256')
    .update(`${clientAccount ?? ''}\n${attempt}`)
    .digest('hex');
  return brandAs<StreamKey>(digest.slice(0, KEY_CHARACTERS));
}

/** Key of the row that records a stream. */
export function streamRowKey(key: StreamKey): string {
  return `${STREAMS}${key}`;
}

/** @returns undefined when it is no key of a row that records a stream. */
export function readStreamKey(rowKey: unknown): StreamKey | undefined {
  if (typeof rowKey !== 'string' || !STREAM_ROW_KEY.test(rowKey)) {
    return undefined;
  }
  return brandAs<StreamKey>(rowKey.slice(STREAMS.length));
}

/** @returns the value of the row that records a stream. */
export function encodeOrigin(recorded: RecordedOrigin): StreamValue {
  if (recorded.kind === 'ambiguous') return {isAmbiguous: true};
  const {origin, run} = recorded;
  const {service, softwareVersion} = origin;
  const value = {service, version: softwareVersion};
  return run === undefined ? value : {...value, run};
}

/**
 * Whether two records name the same version, whichever requests they are for.
 *
 * @example
 * const isThere = isSameOrigin(decodeOrigin(row.value), recorded);
 */
export function isSameOrigin(
  one: RecordedOrigin | undefined,
  other: RecordedOrigin,
): boolean {
  if (one?.kind !== 'origin' || other.kind !== 'origin') {
    return one?.kind === other.kind;
  }
  return isDeepStrictEqual(one.origin, other.origin);
}

/** @returns undefined when nothing is recorded, or nothing that is valid. */
export function decodeOrigin(value: unknown): RecordedOrigin | undefined {
  const {service, version, run, isAmbiguous} = (value ?? {}) as StreamValue;
  if (isAmbiguous === true) return {kind: 'ambiguous'};
  if (typeof service !== 'string' || typeof version !== 'string') {
    return undefined;
  }
  const softwareVersion = brandAs<SoftwareVersion>(version);
  const origin = {service: brandAs<ServiceId>(service), softwareVersion};
  return typeof run === 'string' && run.length <= MAX_RUN_CHARACTERS
    ? {kind: 'origin', origin, run: brandAs<StreamRun>(run)}
    : {kind: 'origin', origin};
}

/** Key of the row with the published versions of a service. */
export function versionsRowKey(service: ServiceId): string {
  return `${SHARED}${VERSIONS}${service}`;
}

/** Service of a row of the shared table; undefined if it holds no versions. */
export function readVersionsKey(sharedKey: string): ServiceId | undefined {
  if (!sharedKey.startsWith(VERSIONS)) return undefined;
  return brandAs<ServiceId>(sharedKey.slice(VERSIONS.length));
}

/** @returns the value of the row with the published versions of a service. */
export function encodeVersions(
  versions: ReadonlySet<SoftwareVersion>,
): VersionsValue {
  return {versions: [...versions]};
}

/** @returns undefined when the row is absent or malformed. */
export function decodeVersions(
  value: unknown,
): readonly SoftwareVersion[] | undefined {
  const {versions} = (value ?? {}) as VersionsValue;
  if (!Array.isArray(versions)) return undefined;
  const texts = versions.filter(each => typeof each === 'string');
  if (texts.length < versions.length) return undefined;
  return texts.map(each => brandAs<SoftwareVersion>(each));
}
