/** Knows at which software version the streams of callers have begun. */

import {resolveWithin} from '@snipestage/connection/read_first_timeout.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {StreamOrigin} from '@snipestage/routing/stream_origin.js';
import type {
  ClientAccountId,
  RequestId,
  ServiceId,
  SoftwareVersion,
} from '@snipestage/types/ids.js';
import {
  ABSENT,
  eraOf,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import type {RoutingState} from '../routing_state.js';
import {FormerVersions} from './former_versions.js';
import {KnownStreams} from './known_streams.js';
import {StreamRecorder, type StreamRecorderOptions} from './stream_recorder.js';
import {
  decodeOrigin,
  decodeVersions,
  isSameOrigin,
  streamKeyOf,
  streamRowKey,
  versionsRowKey,
  type RecordedOrigin,
  type StreamKey,
  type StreamRun,
} from './stream_rows.js';
import {VersionPublisher} from './version_publisher.js';

/** Options of {@link Streams}. */
export interface StreamsOptions {
  readonly platform: Platform;
  readonly state: RoutingState;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /**
   * How long ago an era of the store began, in ms; undefined: not known (never
   * known).
   */
  readonly eraAgeMs?: (era: number) => Promise<number | undefined>;
  /** Writes records with those of other instances (never). */
  readonly relayRecords?: StreamRecorderOptions['relayRecords'];
}

/** A caller takes up a stream. */
export interface Resumption {
  readonly clientAccount: ClientAccountId | undefined;
  /** The attempt that brought the first event, as the caller names it. */
  readonly resumes: RequestId | undefined;
  /** Service to which the route leads now. */
  readonly service: ServiceId;
  /** Until the caller's time is over (0). */
  readonly timeLeftMs?: number;
}

/**
 * How the origin of a stream is known:
 *
 * - `memory`: this instance began it, or has resumed it before.
 * - `record`: another instance has recorded it.
 * - `single_version`: no stream of the service can belong to another version.
 */
export type OriginSource = 'memory' | 'record' | 'single_version';

export type ResolvedOrigin =
  | {
      readonly kind: 'known';
      readonly origin: StreamOrigin;
      readonly source: OriginSource;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: 'stream_unknown' | 'stream_not_looked_up';
    };

/** A stream whose version is looked up in the store, and the timeout. */
interface Question {
  readonly key: StreamKey | undefined;
  readonly service: ServiceId;
  readonly timeoutMs: number;
}

/** What was read of a stream and of the published versions. */
interface LookUp {
  readonly isAvailable: boolean;
  readonly recorded?: RecordedOrigin;
  readonly versions?: readonly SoftwareVersion[];
  /** Era of the store that has answered. */
  readonly era?: number;
}

/** Longer than the longest timeouts of streams and their callers. */
const KEEP_MS = 120_000;
/**
 * Share of the caller's time left that a slow store may take, within bounds: a
 * stream that is refused may be lost, as callers don't come back often.
 */
const LOOK_UP_TIME_LEFT_SHARE = 0.25;
const MIN_LOOK_UP_TIMEOUT_MS = 400;
const MAX_LOOK_UP_TIMEOUT_MS = 1500;
/** Time for which a request waits until its record is replaced. */
const MAX_REPLACING_MS = 500;
/** A record may be on its way to the store. */
const SECOND_LOOK_AFTER_MS = 120;
/** Made-up attempts must not keep the store busy. */
const MAX_LOOK_UPS = 64;
const AMBIGUOUS: RecordedOrigin = {kind: 'ambiguous'};
const UNAVAILABLE: LookUp = {isAvailable: false};
const STREAM_UNKNOWN = {kind: 'unknown', reason: 'stream_unknown'} as const;
const NOT_LOOKED_UP = {
  kind: 'unknown',
  reason: 'stream_not_looked_up',
} as const;

/**
 * A stream belongs to the version of the endpoint that sent its first event.
 * Streams of a service of one version need no record. Otherwise each is recorded
 * in the store, so that any instance can resume it once this one is gone. A
 * stream whose version isn't known for certain is never resumed.
 */
export class Streams {
  /** Streams that have begun, or were read from the store. */
  private readonly known: KnownStreams;
  /** What was recorded of streams that may begin. */
  private readonly sent: KnownStreams;
  private readonly recorder: StreamRecorder;
  private readonly publisher: VersionPublisher;
  private readonly former: FormerVersions;
  private lookUps = 0;

  constructor(private readonly options: StreamsOptions) {
    const {state} = options;
    const shared = {
      ...options,
      keepMs: KEEP_MS,
      countInstances: () => state.instances,
    };
    const {eraAgeMs = () => Promise.resolve(undefined)} = options;
    this.former = new FormerVersions({...shared, eraAgeMs});
    this.known = new KnownStreams({nowMs: options.nowMs, keepMs: KEEP_MS});
    this.sent = new KnownStreams({nowMs: options.nowMs, keepMs: KEEP_MS});
    this.recorder = new StreamRecorder(shared);
    this.publisher = new VersionPublisher({
      ...shared,
      directory: state.directory,
      versions: state.versions,
      onChange: service => this.recordUnrecorded(service),
    });
  }

  start(): void {
    this.publisher.start();
    this.recorder.start();
  }

  stop(): void {
    this.publisher.stop();
    this.recorder.stop();
  }

  /** Number of streams that aren't known to be recorded. */
  get unrecorded(): number {
    return this.recorder.waiting;
  }

  /** The list of endpoints has changed. */
  noteEndpoints(): void {
    this.publisher.check();
  }

  /** Takes the published versions of a service. */
  learnVersions(
    service: ServiceId,
    versions: readonly SoftwareVersion[],
    rowVersion: StoreVersion,
  ): void {
    this.publisher.learn(service, versions, rowVersion);
  }

  /**
   * The store was set back. Called before the rows of its copy are learnt.
   *
   * @param missedForMs for how long before changes may have been missed.
   */
  noteNewEra(era: number, missedForMs: number): void {
    const published = this.options.state.versions.readAll();
    this.former.noteSetBack({era, missedForMs, published});
  }

  /** The store was set back: it may have lost records. */
  noteSetBack(): void {
    this.known.forgetRecorded();
    for (const [key, recorded] of this.sent.list()) {
      this.recorder.add(key, recorded);
      this.known.markRecorded(key);
    }
    for (const service of this.known.listServices()) {
      this.recordUnrecorded(service);
    }
  }

  /**
   * Called before a request is sent to an endpoint that may begin a new stream:
   * the version is recorded while the endpoint reads the prompt, so that others
   * know it when the first event comes. What was recorded of an earlier endpoint
   * of another version must not be believed any more.
   *
   * @param run the request, which may name the same attempt as others.
   * @returns whether the stream may begin there; a promise where that depends on
   *   the store.
   * @example
   * const mayBegin = await streams.noteSent(account, requestId, origin, run);
   */
  noteSent(
    clientAccount: ClientAccountId | undefined,
    attempt: RequestId,
    origin: StreamOrigin,
    run: StreamRun,
  ): true | Promise<boolean> {
    const key = streamKeyOf(clientAccount, attempt);
    if (key === undefined || origin.softwareVersion === undefined) return true;
    const before = this.sent.find(key);
    const isMixed = this.options.state.versions.isMixed(origin.service);
    if (before === undefined && !isMixed) return true;
    const recorded = mergeSent(before, {kind: 'origin', origin, run});
    if (recorded !== before) {
      this.sent.replace(key, recorded);
      this.recorder.add(key, recorded);
    }
    // Nothing else can be recorded of a stream that was sent to one version.
    if (
      before === undefined ||
      isSameOrigin(before, {kind: 'origin', origin})
    ) {
      return true;
    }
    return resolveWithin(
      this.recorder.whenWritten(key).then(() => true),
      {timeoutMs: MAX_REPLACING_MS, otherwise: false},
    );
  }

  /** Called before the first event of a new stream is sent to its caller. */
  noteBegun(
    clientAccount: ClientAccountId | undefined,
    attempt: RequestId,
    origin: StreamOrigin,
  ): void {
    const key = streamKeyOf(clientAccount, attempt);
    if (key === undefined || origin.softwareVersion === undefined) return;
    this.known.remember(key, origin);
    if (this.sent.find(key) !== undefined) this.known.markRecorded(key);
    else if (this.options.state.versions.isMixed(origin.service)) {
      this.record(key);
    }
  }

  /**
   * Finds out which version has begun a stream that a caller takes up.
   *
   * @example
   * const resolved = await streams.resolve({clientAccount, resumes, service});
   */
  async resolve(resumption: Resumption): Promise<ResolvedOrigin> {
    const {clientAccount, resumes, service, timeLeftMs = 0} = resumption;
    const key = streamKeyOf(clientAccount, resumes);
    const remembered = key && this.known.find(key);
    if (remembered !== undefined) return toResolved(remembered, 'memory');
    if (this.lookUps >= MAX_LOOK_UPS) return NOT_LOOKED_UP;
    this.lookUps += 1;
    try {
      const timeoutMs = lookUpTimeoutMs(timeLeftMs);
      return await this.lookUpTwice({key, service, timeoutMs});
    } finally {
      this.lookUps -= 1;
    }
  }

  private async lookUpTwice(question: Question): Promise<ResolvedOrigin> {
    const first = await this.lookUpOrigin(question);
    if (first !== STREAM_UNKNOWN || question.key === undefined) return first;
    await new Promise(done => setTimeout(done, SECOND_LOOK_AFTER_MS));
    return this.lookUpOrigin(question);
  }

  private async lookUpOrigin({
    key,
    service,
    timeoutMs,
  }: Question): Promise<ResolvedOrigin> {
    const lookUp = await resolveWithin(this.read(key, service), {
      timeoutMs,
      otherwise: UNAVAILABLE,
    });
    const {isAvailable, recorded, versions, era = 0} = lookUp;
    if (!isAvailable) return NOT_LOOKED_UP;
    if (recorded !== undefined) {
      if (key !== undefined) this.known.learn(key, recorded);
      return toResolved(recorded, 'record');
    }
    const only = this.findOnlyVersion(service, versions);
    const isOnly = only !== undefined && (await this.former.areComplete(era));
    if (!isOnly) return STREAM_UNKNOWN;
    const origin = {service, softwareVersion: only};
    if (key !== undefined) this.known.remember(key, origin);
    return {kind: 'known', origin, source: 'single_version'};
  }

  /**
   * The version is published before any stream begins at it, and the row is read
   * after the stream has begun: a single version in it is that of the stream. A
   * store that was set back may have lost versions, of which some are known here.
   */
  private findOnlyVersion(
    service: ServiceId,
    versions: readonly SoftwareVersion[] | undefined,
  ): SoftwareVersion | undefined {
    if (versions?.length !== 1) return undefined;
    const [only] = versions;
    const {state} = this.options;
    const listed = state.directory
      .readAll()
      .filter(each => each.service === service)
      .map(({softwareVersion}) => softwareVersion);
    const others = [
      ...state.versions.find(service),
      ...this.former.list(service),
      ...listed,
    ].filter(each => each !== undefined && each !== only);
    return others.length === 0 ? only : undefined;
  }

  private async read(
    key: StreamKey | undefined,
    service: ServiceId,
  ): Promise<LookUp> {
    const {platform} = this.options;
    const streamKey = key && streamRowKey(key);
    const versionsKey = versionsRowKey(service);
    const keys = streamKey ? [streamKey, versionsKey] : [versionsKey];
    const result = await platform.readRows(keys);
    if (result.kind === 'unavailable') return UNAVAILABLE;
    const valueOf = (name: string | undefined): unknown =>
      result.rows.find(row => row.key === name)?.value;
    const row = result.rows.find(({key: name}) => name === versionsKey);
    return {
      isAvailable: true,
      recorded: decodeOrigin(valueOf(streamKey)),
      versions: decodeVersions(row?.value),
      era: eraOf(row?.version ?? ABSENT),
    };
  }

  private recordUnrecorded(service: ServiceId): void {
    if (!this.options.state.versions.isMixed(service)) return;
    for (const key of this.known.listUnrecorded(service)) this.record(key);
  }

  private record(key: StreamKey): void {
    const recorded = this.known.find(key);
    if (recorded === undefined) return;
    this.recorder.add(key, recorded);
    this.known.markRecorded(key);
  }
}

function lookUpTimeoutMs(timeLeftMs: number): number {
  const shareMs = LOOK_UP_TIME_LEFT_SHARE * timeLeftMs;
  return Math.min(
    MAX_LOOK_UP_TIMEOUT_MS,
    Math.max(MIN_LOOK_UP_TIMEOUT_MS, shareMs),
  );
}

/** @param before what was recorded of the attempt so far. */
function mergeSent(
  before: RecordedOrigin | undefined,
  sent: Extract<RecordedOrigin, {kind: 'origin'}>,
): RecordedOrigin {
  if (before === undefined) return sent;
  if (before.kind === 'ambiguous') return before;
  if (isSameOrigin(before, sent)) return before;
  return before.run === sent.run ? sent : AMBIGUOUS;
}

function toResolved(
  recorded: RecordedOrigin,
  source: OriginSource,
): ResolvedOrigin {
  if (recorded.kind === 'ambiguous') return STREAM_UNKNOWN;
  return {kind: 'known', origin: recorded.origin, source};
}
