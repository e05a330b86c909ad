/** Streams whose origin this instance has seen itself or read. */

import {isDeepStrictEqual} from 'node:util';
import type {StreamOrigin} from '@snipestage/routing/stream_origin.js';
import type {ServiceId} from '@snipestage/types/ids.js';
import type {RecordedOrigin, StreamKey} from './stream_rows.js';

/** Options of {@link KnownStreams}; default in the brackets. */
export interface KnownStreamsOptions {
  readonly nowMs: () => number;
  /** How long a caller may come back for its stream. */
  readonly keepMs: number;
  /** With more than this, the oldest are forgotten (20,000). */
  readonly maxStreams?: number;
}

interface KnownStream {
  readonly recorded: RecordedOrigin;
  readonly atMs: number;
  /** Whether it was handed to the recorder, or read from the store. */
  isRecorded: boolean;
}

const DEFAULT_MAX_STREAMS = 20_000;

/** Forgets streams in the order in which they were added. */
export class KnownStreams {
  private readonly streams = new Map<StreamKey, KnownStream>();

  constructor(private readonly options: KnownStreamsOptions) {}

  /** Remembers a stream that isn't recorded. */
  remember(key: StreamKey, origin: StreamOrigin): void {
    const found = this.find(key);
    const own: RecordedOrigin = {kind: 'origin', origin};
    if (isDeepStrictEqual(found, own)) return;
    const recorded: RecordedOrigin =
      found === undefined ? own : {kind: 'ambiguous'};
    this.add(key, {recorded, isRecorded: false, atMs: this.options.nowMs()});
  }

  /** Remembers a stream that was read from the store. */
  learn(key: StreamKey, recorded: RecordedOrigin): void {
    const {kind} = recorded;
    this.add(key, {
      recorded: kind === 'origin' ? {kind, origin: recorded.origin} : recorded,
      isRecorded: true,
      atMs: this.options.nowMs(),
    });
  }

  /** Replaces what is known of a stream that isn't recorded. */
  replace(key: StreamKey, recorded: RecordedOrigin): void {
    this.add(key, {recorded, isRecorded: false, atMs: this.options.nowMs()});
  }

  find(key: StreamKey): RecordedOrigin | undefined {
    this.evict();
    return this.streams.get(key)?.recorded;
  }

  markRecorded(key: StreamKey): void {
    const stream = this.streams.get(key);
    if (stream !== undefined) stream.isRecorded = true;
  }

  /** All streams, the oldest first. */
  list(): ReadonlyArray<readonly [StreamKey, RecordedOrigin]> {
    this.evict();
    return [...this.streams].map(([key, {recorded}]) => [key, recorded]);
  }

  /** All streams have to be recorded again. */
  forgetRecorded(): void {
    for (const stream of this.streams.values()) stream.isRecorded = false;
  }

  listServices(): ReadonlySet<ServiceId> {
    const services = new Set<ServiceId>();
    for (const {recorded} of this.streams.values()) {
      if (recorded.kind === 'origin') services.add(recorded.origin.service);
    }
    return services;
  }

  /** Streams of a service that aren't recorded. */
  listUnrecorded(service: ServiceId): readonly StreamKey[] {
    this.evict();
    return [...this.streams]
      .filter(
        ([, {recorded, isRecorded}]) =>
          !isRecorded &&
          recorded.kind === 'origin' &&
          recorded.origin.service === service,
      )
      .map(([key]) => key);
  }

  private add(key: StreamKey, stream: KnownStream): void {
    this.streams.delete(key);
    this.streams.set(key, stream);
    this.evict();
  }

  private evict(): void {
    const {nowMs, keepMs, maxStreams = DEFAULT_MAX_STREAMS} = this.options;
    const oldestMs = nowMs() - keepMs;
    for (const [key, {atMs}] of this.streams) {
      if (atMs >= oldestMs && this.streams.size <= maxStreams) return;
      this.streams.delete(key);
    }
  }
}
