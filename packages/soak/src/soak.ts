/** One run: a world, its traffic, its faults, and what they show. */

import {checkAll} from './checks/all_checks.js';
import type {Finding} from './checks/check.js';
import {drawEvacuations} from './evacuations.js';
import {
  drawFaultPlan,
  EVACUATE,
  RATE_LIMIT,
  type FaultKind,
  type PlannedFault,
} from './fault_plan.js';
import type {History} from './history.js';
import {drawRateLimits} from './rate_limits.js';
import {drawStopTurns} from './stop_turns.js';
import {FaultInjector} from './world/fault_injector.js';
import {StallWatch} from './world/stall_watch.js';
import {Traffic} from './world/traffic.js';
import {World} from './world/world.js';

/** What a run is made from; defaults in the brackets. */
export interface SoakOptions {
  readonly seed: number;
  readonly program: string;
  /** How long faults come (20 s). */
  readonly faultsForMs?: number;
  /** Processes of the real program (6). */
  readonly instances?: number;
  /** (6) */
  readonly engines?: number;
  /** (4) */
  readonly services?: number;
  /** Data centres, at most three; instances in one relay to each other (2). */
  readonly dataCentres?: number;
  /** (60) */
  readonly requestsPerS?: number;
  /** Mean time between two series of faults (1,800 ms). */
  readonly seriesEveryMs?: number;
  /** Mean time between turns in which a data centre's instances stop (15 s). */
  readonly stopTurnsEveryMs?: number;
  /** Kinds of faults that may come (all). */
  readonly kinds?: readonly FaultKind[];
}

/** What a run showed. */
export interface SoakResult {
  readonly seed: number;
  readonly findings: readonly Finding[];
  readonly history: History;
  /** Faults as they were applied. */
  readonly faults: readonly string[];
  /** Times in findings are since this moment. */
  readonly startedAtMs: number;
}

const DEFAULT_FAULTS_FOR_MS = 20_000;
const DEFAULT_INSTANCES = 6;
const DEFAULT_ENGINES = 6;
const DEFAULT_SERVICES = 4;
/** With three instances each: one that is left is fewer than half of them. */
const DEFAULT_DATA_CENTRES = 2;
const DEFAULT_REQUESTS_PER_S = 60;
/** Many wait for long streams or keep an open connection. */
const CALLERS_PER_REQUEST_A_SECOND = 2;
/** After the last fault: the settling and a while to see it served. */
const QUIET_FOR_MS = 9000;

/**
 * @example
 * const {findings} = await runSoak({seed: 7, program});
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {seed, program} = options;
  const faultsForMs = options.faultsForMs ?? DEFAULT_FAULTS_FOR_MS;
  const requestsPerS = options.requestsPerS ?? DEFAULT_REQUESTS_PER_S;
  const world = new World({
    seed,
    program,
    instances: options.instances ?? DEFAULT_INSTANCES,
    engines: options.engines ?? DEFAULT_ENGINES,
    services: options.services ?? DEFAULT_SERVICES,
    dataCentres: options.dataCentres ?? DEFAULT_DATA_CENTRES,
  });
  const {history, nowMs, instances, operator} = world;
  try {
    await world.start();
    const startedAtMs = nowMs();
    const traffic = new Traffic({
      seed,
      requestsPerS,
      callers: Math.ceil(requestsPerS * CALLERS_PER_REQUEST_A_SECOND),
      instances,
      operator,
      history,
      nowMs,
    });
    const injector = new FaultInjector(world, startedAtMs);
    const stalls = new StallWatch(history, nowMs);
    stalls.start();
    traffic.start();
    injector.start(drawPlan(options, faultsForMs, world));
    await pause(faultsForMs);
    injector.stop();
    history.quietFromMs = nowMs();
    await pause(QUIET_FOR_MS);
    await traffic.stop();
    stalls.stop();
    await world.close();
    const findings = checkAll(history);
    return {seed, findings, history, faults: injector.log, startedAtMs};
  } catch (error) {
    await world.close();
    throw error;
  }
}

/** Evacuations, rate limits and stops in turn come beside the others. */
function drawPlan(
  options: SoakOptions,
  forMs: number,
  world: World,
): PlannedFault[] {
  const {instances, endpoints} = world;
  const {seed, seriesEveryMs, stopTurnsEveryMs, kinds} = options;
  const drawn = drawFaultPlan({seed, forMs, seriesEveryMs, kinds});
  const evacuations =
    kinds?.includes(EVACUATE) === false
      ? []
      : drawEvacuations({seed, forMs, dataCentres: world.dataCentres.length});
  const limits =
    kinds?.includes(RATE_LIMIT) === false
      ? []
      : drawRateLimits({seed, forMs, endpoints: endpoints.length});
  const faults = [...drawn, ...evacuations, ...limits];
  if (kinds?.includes('instance_terminate') === false) return faults;
  const dataCentres = [...new Set(instances.map(each => each.dataCentre))];
  const places = dataCentres.map(dataCentre =>
    [...instances.keys()].filter(
      index => instances[index].dataCentre === dataCentre,
    ),
  );
  const turns = drawStopTurns({
    seed,
    forMs,
    dataCentres: places,
    everyMs: stopTurnsEveryMs,
  });
  return [...faults, ...turns];
}

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}
