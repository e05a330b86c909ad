/** Faults that a stand-in shows on command, by area of its interface. */

import {z} from 'zod';

/**
 * - `ok`: none.
 * - `down`: the connection is reset before anything takes effect.
 * - `silent`: the request is read and never answered.
 * - `slow`: it is answered after `delayMs`.
 * - `error`: 503, without effect.
 * - `lose_answer`: it takes effect, then the connection is reset.
 */
export const FAULT_MODES = [
  'ok',
  'down',
  'silent',
  'slow',
  'error',
  'lose_answer',
] as const;

export type FaultMode = (typeof FAULT_MODES)[number];

/** The schema of a {@link Fault} in a control call. */
export const faultSchema = z.strictObject({
  mode: z.enum(FAULT_MODES),
  delayMs: z.number().min(0).optional(),
  /** How many calls it hits; all, until it is changed, when absent. */
  count: z.int().positive().optional(),
  /** Hits only calls that touch a key with this start. */
  keyPrefix: z.string().optional(),
});

export type Fault = z.output<typeof faultSchema>;

/** Stands for every area that has no fault of its own. */
export const EVERY_AREA = '*';

const NO_FAULT: Fault = {mode: 'ok'};

/** The faults in force. */
export class FaultBoard {
  private readonly faults = new Map<string, Fault>();

  /**
   * Puts a fault in force, in place of the area's former one.
   *
   * @example
   * faults.set('table', {mode: 'lose_answer', count: 1});
   */
  set(area: string, fault: Fault): void {
    this.faults.set(area, fault);
  }

  /** The fault that hits a call, which counts as one of `count`. */
  take(area: string, keys: readonly string[]): Fault {
    const place = this.faults.has(area) ? area : EVERY_AREA;
    const fault = this.faults.get(place) ?? NO_FAULT;
    const {count, keyPrefix} = fault;
    const isHit =
      keyPrefix === undefined || keys.some(key => key.startsWith(keyPrefix));
    if (!isHit) return NO_FAULT;
    if (count === 1) this.faults.delete(place);
    else if (count !== undefined) {
      this.faults.set(place, {...fault, count: count - 1});
    }
    return fault;
  }
}
