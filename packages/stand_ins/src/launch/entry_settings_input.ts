/** Settings for several entry processes on one machine. */

import {hashKey} from '@snipestage/configuration/key_hash.js';
import type {entrySettingsSchema} from '@snipestage/settings/entry_settings.js';
import type {z} from 'zod';
import {DEFAULT_PLATFORM_TOKEN} from '../platform/platform_stand_in.js';
import {pickFreePorts} from './free_ports.js';

/** Settings as written in a file: fields with defaults are optional. */
export type EntrySettingsInput = z.input<typeof entrySettingsSchema>;

/** Options of {@link makeEntrySettings}. */
export interface MakeEntrySettingsOptions {
  readonly instance: string;
  readonly dataCentre: string;
  readonly platformUrl: string;
  readonly platformToken?: string;
  readonly operatorKey: string;
  readonly region?: string;
  /** Sections that replace the generated ones, as `{lease: {termMs: 1000}}`. */
  readonly changes?: Partial<EntrySettingsInput>;
}

export const STAND_IN_PEER_SECRET = 'secret of the stand-in peers';
const DEFAULT_REGION = 'nz-north';
const PORTS_PER_INSTANCE = 3;

/**
 * Makes settings with free ports.
 *
 * @example
 * const settings = await makeEntrySettings({
 *   instance: 'akl-a-1',
 *   dataCentre: 'akl-a',
 *   platformUrl: platform.url,
 *   operatorKey: 'operator key',
 * });
 */
export async function makeEntrySettings(
  options: MakeEntrySettingsOptions,
): Promise<EntrySettingsInput> {
  const [callers, admin, peer] = await pickFreePorts(PORTS_PER_INSTANCE);
  return {
    instance: options.instance,
    dataCentre: options.dataCentre,
    region: options.region ?? DEFAULT_REGION,
    callers: {port: callers},
    admin: {port: admin, operatorKeyHashes: [hashKey(options.operatorKey)]},
    peer: {port: peer, sharedSecret: STAND_IN_PEER_SECRET},
    platform: {
      url: options.platformUrl,
      token: options.platformToken ?? DEFAULT_PLATFORM_TOKEN,
    },
    shutdown: {balancerLagMs: 0},
    ...options.changes,
  };
}
