/** Faults that can be injected into a stand-in, by area of its interface. */

import {z} from 'zod';

/**
 * - `ok`: no fault.
 * - `down`: the connection is reset before anything takes effect.
 * - `silent`: the request is read and never answered.
 * - `slow`: the request is carried out and answered after `delayMs`.
 * - `error`: the answer is 503, without effect.
 * - `lose_answer`: the request takes effect, then the connection is reset.
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
  /** With `error`: the `Retry-After` of the answer. */
  retryAfterS: z.number().min(0).optional(),
  /** Number of calls affected; every call until the next change when absent. */
  count: z.int().positive().optional(),
  /** Limits the fault to calls that touch a key with this prefix. */
  keyPrefix: z.string().optional(),
});

export type Fault = z.output<typeof faultSchema>;

/** Matches every area that has no fault of its own. */
export const EVERY_AREA = '*';

const NO_FAULT: Fault = {mode: 'ok'};

/** The faults that are set at present. */
export class ActiveFaults {
  private readonly faults = new Map<string, Fault>();

  /**
   * Sets the fault of an area, replacing its previous one.
   *
   * @example
   * faults.set('table', {mode: 'lose_answer', count: 1});
   */
  set(area: string, fault: Fault): void {
    this.faults.set(area, fault);
  }

  /**
   * Returns the fault that affects a call; the call uses up one of the fault's
   * `count`.
   */
  consume(area: string, keys: readonly string[]): Fault {
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
