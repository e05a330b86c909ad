/** Sends metrics to a StatsD server over UDP, or discards them. */

import {isIPv6} from 'node:net';
import {StatsD} from 'hot-shots';
import type {
  CounterName,
  GaugeName,
  TagsOf,
  TimingName,
} from './metric_names.js';

/** Records metrics; recording neither throws nor blocks. */
export abstract class Metrics {
  /** Adds to a counter, by default 1. */
  abstract count<Name extends CounterName>(
    name: Name,
    value?: number,
    tags?: TagsOf<Name>,
  ): void;

  abstract timing<Name extends TimingName>(
    name: Name,
    durationMs: number,
    tags?: TagsOf<Name>,
  ): void;

  /** Sets a gauge to its current value. */
  abstract gauge<Name extends GaugeName>(
    name: Name,
    value: number,
    tags?: TagsOf<Name>,
  ): void;

  /** Sends buffered metrics and closes the socket. */
  abstract close(): Promise<void>;
}

/** Discards all metrics; used if the settings name no metrics server. */
export class NoMetrics extends Metrics {
  count(): void {}
  timing(): void {}
  gauge(): void {}

  async close(): Promise<void> {}
}

/** Options of {@link StatsDMetrics}. */
export interface StatsDMetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly prefix?: string;
  /** Tags of every metric, such as the instance and its data centre. */
  readonly globalTags?: Readonly<Record<string, string>>;
  readonly flushEveryMs?: number;
  /** Called for failed sends; by default they are ignored. */
  readonly onError?: (error: Error) => void;
}

const DEFAULT_FLUSH_EVERY_MS = 1000;
/** Fits into an Ethernet frame, so that no datagram is fragmented. */
const MAX_DATAGRAM_BYTES = 1400;

/**
 * Sends metrics to a StatsD server, with DogStatsD tags and several metrics per
 * datagram.
 *
 * @example
 * const metrics = new StatsDMetrics({host: '127.0.0.1', port: 8125});
 * metrics.count('requests', 1, {class: 'counter', outcome: 'ok'});
 */
export class StatsDMetrics extends Metrics {
  private readonly client: StatsD;

  constructor(options: StatsDMetricsOptions) {
    super();
    this.client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: options.prefix ?? 'snipestage.',
      globalTags: {...options.globalTags},
      includeDataDogTags: false,
      originDetection: false,
      protocol: 'udp',
      udpSocketOptions: {type: isIPv6(options.host) ? 'udp6' : 'udp4'},
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: options.flushEveryMs ?? DEFAULT_FLUSH_EVERY_MS,
      // Without a handler, an unreachable metrics server would end the process.
      errorHandler: options.onError ?? (() => {}),
    });
  }

  count<Name extends CounterName>(
    name: Name,
    value = 1,
    tags: TagsOf<Name> = {},
  ): void {
    this.client.increment(name, value, {...tags});
  }

  timing<Name extends TimingName>(
    name: Name,
    durationMs: number,
    tags: TagsOf<Name> = {},
  ): void {
    this.client.timing(name, durationMs, {...tags});
  }

  gauge<Name extends GaugeName>(
    name: Name,
    value: number,
    tags: TagsOf<Name> = {},
  ): void {
    this.client.gauge(name, value, {...tags});
  }

  close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}
