/** The settings of a `snipestage-entry` process. */

import type {DataCentreId, InstanceId, KeyHash} from '@snipestage/types/ids.js';
import {z} from 'zod';
import {
  durationMsSchema as durationMs,
  ipNumberSchema as ipNumber,
  keyHashSchema as keyHash,
  nameSchema as name,
} from './field_schemas.js';

const MAX_PORT = 65535;
const KILOBYTE = 1024;

const port = z.int().min(0).max(MAX_PORT);

const callers = z.strictObject({
  host: ipNumber.default('127.0.0.1'),
  port,
  maxBodyBytes: z
    .int()
    .positive()
    .default(1024 * KILOBYTE),
});

const admin = z.strictObject({
  host: ipNumber.default('127.0.0.1'),
  port,
  operatorKeyHashes: z.array(keyHash).min(1),
});

const tls = z.strictObject({
  certificateFile: z.string().min(1),
  keyFile: z.string().min(1),
  authorityFile: z.string().min(1),
});

const peer = z.strictObject({
  host: ipNumber.default('127.0.0.1'),
  port,
  /** Where others reach it; defaults to host and port. */
  advertisedAddress: z.string().optional(),
  /** Peers that do not show it are turned away. */
  sharedSecret: z.string().min(16, 'must have at least 16 characters'),
  tls: tls.optional(),
  tickMs: durationMs.default(50),
  heartbeatMs: durationMs.default(500),
  suspectAfterMs: durationMs.default(2000),
  deadAfterMs: durationMs.default(5000),
});

const platform = z.strictObject({
  url: z.url(),
  token: z.string().min(1),
  timeoutMs: durationMs.default(2000),
  pollMs: durationMs.default(1000),
});

const lease = z.strictObject({
  termMs: durationMs.default(6000),
  renewEveryMs: durationMs.default(1500),
  marginMs: durationMs.default(1000),
});

const usage = z.strictObject({
  windowMs: durationMs.default(60_000),
  graceMs: durationMs.default(10_000),
  writeEveryMs: durationMs.default(3000),
});

const shutdown = z.strictObject({
  /** How long the balancer may still send new connections. */
  balancerLagMs: z.int().min(0).default(3000),
  graceMs: durationMs.default(120_000),
});

const metrics = z.strictObject({
  host: ipNumber.default('127.0.0.1'),
  port: port.default(8125),
  prefix: z.string().default('snipestage.'),
});

const routing = z.strictObject({
  /** `tiered` is the product; the others are baselines for comparison. */
  policy: z
    .enum(['tiered', 'round_robin', 'least_in_flight'])
    .default('tiered'),
  maxWaitingPerCell: z.int().positive().default(2000),
  endpointsPerCell: z.int().positive().default(4),
  /** Silence between two chunks after which a stream is given up. */
  chunkTimeoutMs: durationMs.default(10_000),
  connectTimeoutMs: durationMs.default(1000),
  pooledConnectionMaxAgeMs: durationMs.default(30_000),
});

/** The schema; unknown fields are faults. */
export const entrySettingsSchema = z.strictObject({
  instance: name,
  dataCentre: name,
  region: name,
  callers,
  admin,
  peer,
  platform,
  lease: lease.prefault({}),
  usage: usage.prefault({}),
  shutdown: shutdown.prefault({}),
  metrics: metrics.optional(),
  routing: routing.prefault({}),
});

type Checked = z.output<typeof entrySettingsSchema>;

/** Checked settings, with defaults filled in. */
export interface EntrySettings extends Omit<
  Checked,
  'instance' | 'dataCentre' | 'admin'
> {
  readonly instance: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly admin: Omit<Checked['admin'], 'operatorKeyHashes'> & {
    readonly operatorKeyHashes: readonly KeyHash[];
  };
}
