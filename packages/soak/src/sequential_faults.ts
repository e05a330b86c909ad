/** Draws faults of one kind that follow one another. */

import {randomInt, randomLcg, randomUniform} from 'd3-random';
import type {FaultKind, PlannedFault} from './fault_plan.js';

/** Options of {@link drawSequentialFaults}. */
export interface SequentialFaultsOptions {
  readonly kind: FaultKind;
  readonly seed: number;
  /** Faults start within this time. */
  readonly forMs: number;
  /** Number of targets to choose from. */
  readonly targetCount: number;
  readonly firstAtMs: number;
  /** Shortest and longest duration of a fault. */
  readonly durationRangeMs: readonly [number, number];
  /**
   * Shortest and longest time from the end of a fault to the start of the next.
   */
  readonly intervalRangeMs: readonly [number, number];
}

/**
 * Draws faults that never overlap.
 *
 * @example
 * const faults = drawSequentialFaults({kind: EVACUATE, seed: 7, ...rest});
 */
export function drawSequentialFaults(
  options: SequentialFaultsOptions,
): PlannedFault[] {
  const {kind, seed, forMs, targetCount, firstAtMs} = options;
  const source = randomLcg(seed);
  const drawDurationMs = randomUniform.source(source)(
    ...options.durationRangeMs,
  );
  const drawIntervalMs = randomUniform.source(source)(
    ...options.intervalRangeMs,
  );
  const drawTarget = randomInt.source(source)(targetCount);
  const faults: PlannedFault[] = [];
  for (let atMs = firstAtMs; atMs < forMs; atMs += drawIntervalMs()) {
    const faultDurationMs = Math.round(drawDurationMs());
    faults.push({
      kind,
      atMs: Math.round(atMs),
      durationMs: faultDurationMs,
      target: drawTarget(),
    });
    atMs += faultDurationMs;
  }
  return faults;
}
