/** Schemas of the platform's answers; one that doesn't match counts as none. */

import {
  composeStoreVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import {z} from 'zod';

/** This interface's store doesn't count eras. */
function toVersion(number: number): StoreVersion {
  return composeStoreVersion({era: 0, number});
}

const row = z.object({
  key: z.string(),
  version: z.int().min(0).transform(toVersion),
  value: z.unknown(),
});

export const rowsSchema = z.object({rows: z.array(row)});

export const versionsSchema = z.object({
  versions: z.record(z.string(), z.int().transform(toVersion)),
});

export const conflictSchema = z.object({rows: z.array(row)});

export const listedInstancesSchema = z.object({
  items: z.array(
    z.object({
      id: z.string(),
      dataCentre: z.string(),
      peerAddress: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

export const listedEndpointsSchema = z.object({
  items: z.array(
    z.object({
      id: z.string(),
      dataCentre: z.string(),
      model: z.string(),
      kind: z.enum(['regular', 'cheap']),
      url: z.string(),
      state: z.enum(['starting', 'live', 'leaving']),
    }),
  ),
});
