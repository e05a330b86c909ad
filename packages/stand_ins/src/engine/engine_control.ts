/** What an engine stand-in can be told by its control call. */

import {z} from 'zod';
import {EVERY_AREA, faultSchema} from '../http/faults.js';

/** Areas of an engine's interface that can fail apart from each other. */
export const ENGINE_AREAS = [
  EVERY_AREA,
  'completions',
  'resume',
  'cancel',
  'load',
  'cache_events',
  'orders',
  'health',
] as const;

/** The schema of the control call; a field that is absent changes nothing. */
export const engineControlSchema = z.strictObject({
  faults: z.partialRecord(z.enum(ENGINE_AREAS), faultSchema).optional(),
  /** Multiplies the time of each step; 1 is normal. */
  slowFactor: z.number().positive().optional(),
  loadLagMs: z.number().min(0).optional(),
  cacheEventLagMs: z.number().min(0).optional(),
  cacheEventGapEvery: z.int().min(0).optional(),
  checksFencing: z.boolean().optional(),
  /** The next streams stop for good after some tokens, connection open. */
  hang: z
    .strictObject({afterTokens: z.int().min(0), count: z.int().positive()})
    .optional(),
  /** So many next requests get the answer to the request before them. */
  crossNext: z.int().positive().optional(),
  /** The next answers begin late. */
  late: z
    .strictObject({delayMs: z.number().min(0), count: z.int().positive()})
    .optional(),
  /** Resets everything and comes back, empty, after a while. */
  crash: z
    .strictObject({restartAfterMs: z.number().min(0).nullable()})
    .optional(),
});

export type EngineControl = z.output<typeof engineControlSchema>;
