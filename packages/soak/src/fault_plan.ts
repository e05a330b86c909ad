/** Which faults come when: drawn from a seed, the same at every run. */

import {
  randomExponential,
  randomInt,
  randomLcg,
  randomUniform,
} from 'd3-random';

/** What can be done to the world. */
export const FAULT_KINDS = [
  // To the process of an instance.
  'instance_kill',
  'instance_freeze',
  'instance_terminate',
  'instance_reload',
  'instance_clock_jump',
  // To the way between an instance and the store.
  'store_way_silent',
  'store_way_cut',
  'store_way_one_way',
  'store_way_slow',
  // To the way between callers and an instance.
  'callers_way_cut',
  'callers_way_silent',
  // To an endpoint.
  'endpoint_failing',
  'endpoint_silent',
  'endpoint_resetting',
  'endpoint_truncating',
  'endpoint_spoiling',
  'endpoint_full',
  'endpoint_kill',
  'endpoint_replace',
  'endpoint_way_silent',
  'endpoint_way_one_way',
  // To the store and the provider.
  'store_silent',
  'store_busy',
  'store_too_many',
  'store_reset',
  'store_slow',
  'store_answers_lost',
  'store_late',
  'store_history_gone',
  'provider_silent',
  'provider_busy',
  // Changes by the operator.
  'add_marker',
  'withdraw_key',
] as const;

/** Drawn beside the others, so that these stay the same for a seed. */
export const EVACUATE = 'evacuate';
/** An endpoint announces a rate limit in its answers. */
export const RATE_LIMIT = 'rate_limit';

export type FaultKind =
  (typeof FAULT_KINDS)[number] | typeof EVACUATE | typeof RATE_LIMIT;

/** One fault. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** From the start of the traffic. */
  readonly atMs: number;
  readonly forMs: number;
  /** Picks the target among those that there are: its index modulo their count. */
  readonly target: number;
}

/** What a plan is drawn from. */
export interface FaultPlanOptions {
  readonly seed: number;
  /** Faults begin within this time. */
  readonly forMs: number;
  /** Mean time between the starts of two series (1,800 ms). */
  readonly seriesEveryMs?: number;
  /** Kinds that may come (all). */
  readonly kinds?: readonly FaultKind[];
}

const DEFAULT_SERIES_EVERY_MS = 1800;
/** The traffic runs for a moment before anything is disturbed. */
const FIRST_AT_MS = 500;
const MAX_SERIES_LENGTH = 4;
const MEAN_GAP_MS = 700;
const SHORTEST_MS = 200;
const LONGEST_MS = 5000;
const TARGETS = 1000;

/**
 * Faults come in series of one kind; series overlap.
 *
 * @example
 * const plan = drawFaultPlan({seed: 7, forMs: 20_000});
 */
export function drawFaultPlan(options: FaultPlanOptions): PlannedFault[] {
  const {seed, forMs, kinds = FAULT_KINDS} = options;
  const source = randomLcg(seed);
  const nextSeriesMs = randomExponential.source(source)(
    1 / (options.seriesEveryMs ?? DEFAULT_SERIES_EVERY_MS),
  );
  const nextGapMs = randomExponential.source(source)(1 / MEAN_GAP_MS);
  const drawKind = randomInt.source(source)(kinds.length);
  const drawLength = randomInt.source(source)(1, MAX_SERIES_LENGTH + 1);
  const drawForMs = randomUniform.source(source)(SHORTEST_MS, LONGEST_MS);
  const drawTarget = randomInt.source(source)(TARGETS);
  const faults: PlannedFault[] = [];
  for (let startMs = FIRST_AT_MS; startMs < forMs; startMs += nextSeriesMs()) {
    const kind = kinds[drawKind()];
    let atMs = startMs;
    for (let left = drawLength(); left > 0 && atMs < forMs; left -= 1) {
      faults.push({
        kind,
        atMs: Math.round(atMs),
        forMs: Math.round(drawForMs()),
        target: drawTarget(),
      });
      atMs += nextGapMs();
    }
  }
  return faults.sort((left, right) => left.atMs - right.atMs);
}
