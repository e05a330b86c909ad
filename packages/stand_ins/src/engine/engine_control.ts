/** The control call of engine stand-ins. */

import {z} from 'zod';
import {EVERY_AREA, faultSchema} from '../http/faults.js';

/** Areas of an engine's interface that can fail independently. */
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
  /**
   * The next `count` streams stop permanently after `afterTokens` tokens and
   * keep their connection open.
   */
  hang: z
    .strictObject({afterTokens: z.int().min(0), count: z.int().positive()})
    .optional(),
  /** Number of next requests that get the answer to the previous request. */
  crossNext: z.int().positive().optional(),
  /** The next `count` answers begin `delayMs` late. */
  late: z
    .strictObject({delayMs: z.number().min(0), count: z.int().positive()})
    .optional(),
  /**
   * Crashes the engine; it restarts after `restartAfterMs` with no sequences
   * and an empty cache, or stays down when that is null.
   */
  crash: z
    .strictObject({restartAfterMs: z.number().min(0).nullable()})
    .optional(),
});

export type EngineControl = z.output<typeof engineControlSchema>;
