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
const KIBIBYTE = 1024;

const port = z.int().min(0).max(MAX_PORT);

const callers = z.strictObject({
  host: ipNumber.default('127.0.0.1').describe('IP number to listen on'),
  port: port.describe('port for callers; 0 takes any free one'),
  maxBodyBytes: z
    .int()
    .positive()
    .default(1024 * KIBIBYTE)
    .describe('longest request body; beyond it `body_too_large`'),
});

const admin = z.strictObject({
  host: ipNumber.default('127.0.0.1').describe('IP number to listen on'),
  port: port.describe('port for operators'),
  operatorKeyHashes: z
    .array(keyHash)
    .min(1)
    .describe('hashes of the operator keys, from `snipestage keys hash`'),
});

const tls = z.strictObject({
  certificateFile: z.string().min(1).describe('PEM file of the certificate'),
  keyFile: z.string().min(1).describe('PEM file of its private key'),
  authorityFile: z
    .string()
    .min(1)
    .describe('PEM file of the authority that signed the peers’ certificates'),
});

const peer = z
  .strictObject({
    host: ipNumber.default('127.0.0.1').describe('IP number to listen on'),
    port: port.describe('port for other instances'),
    advertisedAddress: z
      .string()
      .optional()
      .describe('where others reach it, if not `host:port`'),
    sharedSecret: z
      .string()
      .min(16, 'must have at least 16 characters')
      .describe('peers that don’t show it are turned away'),
    tls: tls.optional(),
    tickMs: durationMs
      .default(50)
      .describe('one frame a tick to each peer; how long a wrong order lasts'),
    heartbeatMs: durationMs.default(500).describe('between two heartbeats'),
    suspectAfterMs: durationMs
      .default(2000)
      .describe('silence after which a member is suspected'),
    deadAfterMs: durationMs
      .default(5000)
      .describe('silence after which a member counts as gone'),
  })
  .refine(({heartbeatMs, suspectAfterMs}) => heartbeatMs < suspectAfterMs, {
    path: ['heartbeatMs'],
    error: 'must be below suspectAfterMs, or every member is suspected',
  })
  .refine(({suspectAfterMs, deadAfterMs}) => suspectAfterMs < deadAfterMs, {
    path: ['suspectAfterMs'],
    error: 'must be below deadAfterMs',
  });

const platform = z.strictObject({
  url: z.url().describe('where the platform’s interface is'),
  token: z.string().min(1).describe('bearer token for it'),
  timeoutMs: durationMs
    .default(2000)
    .describe('after which the outcome of a call counts as unknown'),
  pollMs: durationMs
    .default(1000)
    .describe('between two reads of the configuration’s head row'),
});

const lease = z
  .strictObject({
    termMs: durationMs
      .default(6000)
      .describe('how long a holder may act after its last renewal'),
    renewEveryMs: durationMs.default(1500).describe('between two renewals'),
    marginMs: durationMs
      .default(1000)
      .describe('how much sooner the holder stops, and later others begin'),
  })
  .refine(
    ({termMs, renewEveryMs, marginMs}) => renewEveryMs + marginMs < termMs,
    {
      path: ['termMs'],
      error: 'must be above renewEveryMs and marginMs together',
    },
  );

const usage = z.strictObject({
  windowMs: durationMs.default(60_000).describe('length of a usage window'),
  graceMs: durationMs
    .default(10_000)
    .describe('after its end until it is sealed'),
  writeEveryMs: durationMs
    .default(3000)
    .describe('between two writes of an instance’s counters'),
});

const shutdown = z.strictObject({
  balancerLagMs: z
    .int()
    .min(0)
    .default(3000)
    .describe('how long the balancer may still send new connections'),
  graceMs: durationMs
    .default(120_000)
    .describe('how long what runs may take to finish'),
  finalWritesTimeoutMs: durationMs
    .default(5000)
    .describe('how long the final write of usage may take after that'),
});

const metrics = z.strictObject({
  host: ipNumber.default('127.0.0.1').describe('IP number of the server'),
  port: port.default(8125).describe('its UDP port'),
  prefix: z
    .string()
    .default('snipestage.')
    .describe('before the name of each metric'),
});

const routing = z.strictObject({
  policy: z
    .enum(['tiered', 'round_robin', 'least_in_flight'])
    .default('tiered')
    .describe('`tiered` is the product; the others are for comparison'),
  maxWaitingPerCell: z
    .int()
    .positive()
    .default(2000)
    .describe('requests that may wait in a cell; beyond it `overloaded`'),
  endpointsPerCell: z
    .int()
    .positive()
    .default(4)
    .describe('endpoints that one owner decides for'),
  chunkTimeoutMs: durationMs
    .default(10_000)
    .describe('silence between two chunks after which a stream is given up'),
  connectTimeoutMs: durationMs
    .default(1000)
    .describe('for a connection to an endpoint'),
});

/** The schema of the settings; unknown fields are faults. */
export const entrySettingsSchema = z.strictObject({
  instance: name.describe('name of this instance, unlike all others'),
  dataCentre: name.describe('data centre it stands in'),
  region: name.describe('region of the data centre'),
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
