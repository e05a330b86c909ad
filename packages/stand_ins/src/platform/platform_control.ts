/** The control call of the platform stand-in. */

import type {DataCentreId} from '@snipestage/types/ids.js';
import type {
  ListedEndpoint,
  ListedInstance,
} from '@snipestage/types/platform_messages.js';
import {z} from 'zod';
import {EVERY_AREA, faultSchema} from '../http/faults.js';

/** Areas of the platform's interface that can fail independently. */
export const PLATFORM_AREAS = [
  EVERY_AREA,
  'table',
  'objects',
  'orders',
  'reports',
  'lists',
] as const;

/** The schema of the control call; a field that is absent changes nothing. */
export const platformControlSchema = z.strictObject({
  faults: z.partialRecord(z.enum(PLATFORM_AREAS), faultSchema).optional(),
  listLagMs: z.number().min(0).optional(),
  instances: z.array(z.custom<ListedInstance>()).optional(),
  /** Endpoints that already run, to be listed besides those ordered. */
  adopt: z.array(z.custom<ListedEndpoint>()).optional(),
  /** Data centre whose cheap endpoints are all removed at once. */
  reclaimCheap: z.custom<DataCentreId>(isText).optional(),
  cheapAvailable: z.boolean().optional(),
});

export type PlatformControl = z.output<typeof platformControlSchema>;

function isText(value: unknown): boolean {
  return typeof value === 'string';
}
