/** Draws a schedule of faults from a seed; a seed always gives the same one. */

import {
  randomExponential,
  randomInt,
  randomLcg,
  randomUniform,
} from 'd3-random';

/** Kinds of faults that {@link drawFaultPlan} draws, by what they affect. */
export const FAULT_KINDS = [
  // Process of an instance.
  'instance_kill',
  'instance_freeze',
  'instance_terminate',
  'instance_reload',
  'instance_clock_jump',
  // Connections between an instance and the store.
  'store_way_silent',
  'store_way_cut',
  'store_way_one_way',
  'store_way_slow',
  // Connections between callers and an instance.
  'callers_way_cut',
  'callers_way_silent',
  // Endpoint, and the connections to it.
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
  // Store and provider.
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
  // Changes by the operator; these are not disturbances.
  'add_marker',
  'withdraw_key',
] as const;

/**
 * Drawn separately, so that the plan of the other kinds stays as it is for a
 * seed.
 */
export const EVACUATE = 'evacuate';
/** An endpoint announces a rate limit in its answers. */
export const RATE_LIMIT = 'rate_limit';
/** An endpoint is replaced, and its entry says so later than its answers. */
export const UNLISTED_LEAVING = 'unlisted_leaving';
/** An endpoint refuses requests and requests backoff. */
export const BACKOFF = 'backoff';

/** A caller repeats a request that crashes each endpoint that runs it. */
export const CRASHING_REQUEST = 'crashing_request';

/** Callers send different prompts with a part that crashes each engine. */
export const CRASHING_PART = 'crashing_part';

/** The balancer hands most new connections to one instance. */
export const ONE_INSTANCE = 'one_instance';

/** The store comes back from a copy some seconds old. */
export const STORE_SET_BACK = 'store_set_back';

/** Instances lose their links to all endpoints, and to nothing else. */
export const INSTANCE_CUT = 'instance_cut';

/** The endpoints of a service fall over when they have to reject too much. */
export const BRITTLE_SERVICE = 'brittle_service';

/** Half of the engines are replaced by engines of another software version. */
export const VERSION_RELEASE = 'version_release';

/** A third of the instances are killed at the same moment. */
export const MASS_KILL = 'mass_kill';

/** Another writer leaves a row that instances can't use. */
export const FOREIGN_ROW = 'foreign_row';

/** An engine sends nothing of its streams for a while; others may be full. */
export const ENGINE_PAUSE = 'engine_pause';

/** An engine answers in chunks of one byte, without end. */
export const ENGINE_FLOOD = 'engine_flood';

/** An endpoint answers uploads before it has read them, and not to the end. */
export const EARLY_ANSWER = 'early_answer';

/** An endpoint answers with a status that HTTP doesn't have. */
export const ODD_STATUS = 'odd_status';

/** Callers send streams that last nearly as long as the grace time. */
export const LATE_STREAMS = 'late_streams';

export type FaultKind =
  | (typeof FAULT_KINDS)[number]
  | typeof EVACUATE
  | typeof RATE_LIMIT
  | typeof UNLISTED_LEAVING
  | typeof BACKOFF
  | typeof CRASHING_REQUEST
  | typeof CRASHING_PART
  | typeof ONE_INSTANCE
  | typeof STORE_SET_BACK
  | typeof INSTANCE_CUT
  | typeof BRITTLE_SERVICE
  | typeof VERSION_RELEASE
  | typeof FOREIGN_ROW
  | typeof MASS_KILL
  | typeof ENGINE_PAUSE
  | typeof ENGINE_FLOOD
  | typeof EARLY_ANSWER
  | typeof ODD_STATUS
  | typeof LATE_STREAMS;

/** One fault of a plan. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Time from the start of the traffic. */
  readonly atMs: number;
  readonly durationMs: number;
  /**
   * The target is the candidate with this index modulo their number. The size
   * of a clock jump is derived from it as well.
   */
  readonly target: number;
}

/** Options of {@link drawFaultPlan}. */
export interface FaultPlanOptions {
  readonly seed: number;
  /** Faults start within this time. */
  readonly forMs: number;
  /** Mean time between the starts of two series, in ms (1,800). */
  readonly seriesEveryMs?: number;
  /** Kinds to draw from ({@link FAULT_KINDS}). */
  readonly kinds?: readonly FaultKind[];
}

const DEFAULT_SERIES_EVERY_MS = 1800;
/** Until then the traffic runs undisturbed. */
const FIRST_SERIES_AT_MS = 500;
const MAX_SERIES_LENGTH = 4;
const MEAN_GAP_MS = 700;
const MIN_FAULT_DURATION_MS = 200;
const MAX_FAULT_DURATION_MS = 5000;
const TARGET_INDEX_COUNT = 1000;

/**
 * Draws faults in series of one kind each; series may overlap.
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
  const drawDurationMs = randomUniform.source(source)(
    MIN_FAULT_DURATION_MS,
    MAX_FAULT_DURATION_MS,
  );
  const drawTarget = randomInt.source(source)(TARGET_INDEX_COUNT);
  const faults: PlannedFault[] = [];
  for (
    let startMs = FIRST_SERIES_AT_MS;
    startMs < forMs;
    startMs += nextSeriesMs()
  ) {
    const kind = kinds[drawKind()];
    let atMs = startMs;
    for (let left = drawLength(); left > 0 && atMs < forMs; left -= 1) {
      faults.push({
        kind,
        atMs: Math.round(atMs),
        durationMs: Math.round(drawDurationMs()),
        target: drawTarget(),
      });
      atMs += nextGapMs();
    }
  }
  return faults.sort((left, right) => left.atMs - right.atMs);
}
