/**
 * All defined metrics, with kind, unit, tags and meaning. Some of them, such as
 * `peer_frames`, are not sent by any code.
 */

/** The StatsD type of a metric. */
export type MetricKind = 'counter' | 'timing' | 'gauge';

/** A metric, as listed in the documentation. */
export interface MetricDescription {
  readonly kind: MetricKind;
  readonly unit: string;
  readonly tags: readonly string[];
  readonly description: string;
}

/** Metrics by name, without the prefix from the settings. */
export const METRICS = {
  requests: {
    kind: 'counter',
    unit: 'requests',
    tags: ['class', 'outcome'],
    description: 'Requests ended; outcome is `ok`, `cancelled` or a refusal',
  },
  refusals: {
    kind: 'counter',
    unit: 'requests',
    tags: ['class', 'code', 'verdict'],
    description: 'Requests refused, by refusal code and verdict',
  },
  targets_met: {
    kind: 'counter',
    unit: 'requests',
    tags: ['class', 'target', 'met'],
    description: 'Served requests judged by a latency target of their class',
  },
  attempts: {
    kind: 'counter',
    unit: 'attempts',
    tags: ['class', 'outcome'],
    description: 'Sendings to an endpoint, by how they ended',
  },
  retries: {
    kind: 'counter',
    unit: 'attempts',
    tags: ['class', 'cause'],
    description: 'Attempts after the first',
  },
  retries_stopped: {
    kind: 'counter',
    unit: 'requests',
    tags: ['class', 'reason'],
    description: 'Failed attempts that were not sent again, and why',
  },
  streams_resumed: {
    kind: 'counter',
    unit: 'streams',
    tags: ['class', 'way'],
    description: 'Broken streams resumed at the same engine or continued',
  },
  answers_dropped: {
    kind: 'counter',
    unit: 'answers',
    tags: ['reason'],
    description: 'Late or crossed answers that were shown to nobody',
  },
  prompt_tokens: {
    kind: 'counter',
    unit: 'tokens',
    tags: ['class'],
    description: 'Prompt tokens of served requests',
  },
  output_tokens: {
    kind: 'counter',
    unit: 'tokens',
    tags: ['class', 'endpoint_kind'],
    description: 'Tokens that reached a caller',
  },
  wasted_tokens: {
    kind: 'counter',
    unit: 'tokens',
    tags: ['class', 'cause'],
    description: 'Tokens that an engine produced and no caller got',
  },
  first_token_ms: {
    kind: 'timing',
    unit: 'ms',
    tags: ['class'],
    description: 'From arrival to the first token',
  },
  between_tokens_ms: {
    kind: 'timing',
    unit: 'ms',
    tags: ['class'],
    description: 'Mean time between tokens of a request',
  },
  queue_wait_ms: {
    kind: 'timing',
    unit: 'ms',
    tags: ['class'],
    description: 'From arrival to the permit',
  },
  request_ms: {
    kind: 'timing',
    unit: 'ms',
    tags: ['class'],
    description: 'From arrival to the last byte',
  },
  requests_waiting: {
    kind: 'gauge',
    unit: 'requests',
    tags: ['class'],
    description: 'Requests that wait for a permit at this instance',
  },
  requests_in_flight: {
    kind: 'gauge',
    unit: 'requests',
    tags: ['class'],
    description: 'Requests of this instance that run at an endpoint',
  },
  endpoint_limit: {
    kind: 'gauge',
    unit: 'requests',
    tags: ['endpoint'],
    description: 'Most requests at once that the cell owner now allows',
  },
  suspects: {
    kind: 'gauge',
    unit: 'fingerprints',
    tags: ['state'],
    description: 'Requests suspected of crashing endpoints, by state',
  },
  cells_owned: {
    kind: 'gauge',
    unit: 'cells',
    tags: [],
    description: 'Cells that this instance decides for',
  },
  revision: {
    kind: 'gauge',
    unit: 'revision',
    tags: [],
    description: 'Revision of the configuration in force here',
  },
  members: {
    kind: 'gauge',
    unit: 'instances',
    tags: ['state'],
    description: 'Instances as this one sees them',
  },
  peer_frames: {
    kind: 'counter',
    unit: 'frames',
    tags: ['direction'],
    description: 'Frames exchanged with other instances',
  },
  peer_bytes: {
    kind: 'counter',
    unit: 'bytes',
    tags: ['direction'],
    description: 'Bytes of these frames',
  },
  platform_calls: {
    kind: 'counter',
    unit: 'calls',
    tags: ['call', 'outcome'],
    description: 'Calls to the platform; outcome `unknown` had no answer',
  },
  platform_call_ms: {
    kind: 'timing',
    unit: 'ms',
    tags: ['call'],
    description: 'How long the platform took to answer',
  },
  lease_held: {
    kind: 'gauge',
    unit: '0 or 1',
    tags: ['lease'],
    description: 'Whether this instance holds the lease',
  },
  lease_changes: {
    kind: 'counter',
    unit: 'changes',
    tags: ['lease', 'change'],
    description: 'Leases taken, lost and handed over',
  },
  endpoint_orders: {
    kind: 'counter',
    unit: 'orders',
    tags: ['kind', 'outcome'],
    description: 'Orders for endpoints, by how they ended',
  },
  usage_windows: {
    kind: 'counter',
    unit: 'windows',
    tags: ['step'],
    description: 'Usage windows sealed and reported',
  },
  usage_late_requests: {
    kind: 'counter',
    unit: 'requests',
    tags: [],
    description: 'Requests counted in a later window than they ran in',
  },
  event_loop_delay_ms: {
    kind: 'gauge',
    unit: 'ms',
    tags: ['quantile'],
    description: 'Delay of the event loop; a busy or frozen process shows here',
  },
  resident_bytes: {
    kind: 'gauge',
    unit: 'bytes',
    tags: [],
    description: 'Memory that the process holds',
  },
} as const satisfies Readonly<Record<string, MetricDescription>>;

type NameOfKind<Kind extends MetricKind> = {
  [Name in keyof typeof METRICS]: (typeof METRICS)[Name]['kind'] extends Kind
    ? Name
    : never;
}[keyof typeof METRICS];

/** Names of counters. */
export type CounterName = NameOfKind<'counter'>;
/** Names of metrics of durations. */
export type TimingName = NameOfKind<'timing'>;
/** Names of gauges, which report a current value. */
export type GaugeName = NameOfKind<'gauge'>;
/** Names of all metrics. */
export type MetricName = keyof typeof METRICS;

/** The tags of one metric; each is optional, and others are type errors. */
export type TagsOf<Name extends MetricName> = {
  readonly [Tag in (typeof METRICS)[Name]['tags'][number]]?: string;
};
