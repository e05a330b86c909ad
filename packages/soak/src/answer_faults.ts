/** Draws when endpoints answer oddly, and when callers send long streams. */

import {
  EARLY_ANSWER,
  ENGINE_FLOOD,
  ENGINE_PAUSE,
  LATE_STREAMS,
  ODD_STATUS,
  type FaultKind,
  type PlannedFault,
} from './fault_plan.js';
import {drawSequentialFaults} from './sequential_faults.js';

/** Options of {@link drawAnswerFaults}. */
export interface AnswerFaultsOptions {
  readonly kind: AnswerFaultKind;
  readonly seed: number;
  /** Faults start within this time. */
  readonly forMs: number;
}

export type AnswerFaultKind =
  | typeof ENGINE_PAUSE
  | typeof ENGINE_FLOOD
  | typeof EARLY_ANSWER
  | typeof ODD_STATUS
  | typeof LATE_STREAMS;

/** Apart from the seeds of other draws. */
const SEED_OFFSETS: Readonly<Record<AnswerFaultKind, number>> = {
  [ENGINE_PAUSE]: 31_337,
  [ENGINE_FLOOD]: 32_452,
  [ODD_STATUS]: 33_487,
  [EARLY_ANSWER]: 35_603,
  [LATE_STREAMS]: 34_591,
};
/** Pauses exceed the silence after which a hedged attempt begins. */
const DURATION_RANGES_MS: Readonly<
  Record<AnswerFaultKind, readonly [number, number]>
> = {
  [ENGINE_PAUSE]: [2100, 2800],
  [ENGINE_FLOOD]: [500, 1500],
  [ODD_STATUS]: [300, 1000],
  [EARLY_ANSWER]: [1000, 2000],
  [LATE_STREAMS]: [3000, 5000],
};
/** Between two of them; what pauses engines takes much of their capacity. */
const INTERVAL_RANGES_MS: Readonly<
  Record<AnswerFaultKind, readonly [number, number]>
> = {
  [ENGINE_PAUSE]: [6000, 10_000],
  [ENGINE_FLOOD]: [2000, 6000],
  [ODD_STATUS]: [2000, 6000],
  [EARLY_ANSWER]: [4000, 8000],
  [LATE_STREAMS]: [2000, 6000],
};
const TARGET_COUNT = 1000;

/**
 * @example
 * const faults = drawAnswerFaults({kind: ENGINE_PAUSE, seed: 7, forMs: 20_000});
 */
export function drawAnswerFaults({
  kind,
  seed,
  forMs,
}: AnswerFaultsOptions): PlannedFault[] {
  return drawSequentialFaults({
    kind,
    seed: seed + SEED_OFFSETS[kind],
    forMs,
    targetCount: TARGET_COUNT,
    firstAtMs: 2000,
    durationRangeMs: DURATION_RANGES_MS[kind],
    intervalRangeMs: INTERVAL_RANGES_MS[kind],
  });
}

/** Whether the other engines are full while one pauses. */
export function areOthersFull({
  kind,
  target,
}: {
  readonly kind: FaultKind;
  readonly target: number;
}): boolean {
  return kind === ENGINE_PAUSE && target % 2 === 1;
}
