/** Runs real processes under traffic and faults and checks what was seen. */

import {drawAnswerFaults} from './answer_faults.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import {drawBackoffs, drawUnlistedLeavings} from './announcements.js';
import {drawBrittleServices} from './brittle_services.js';
import {checkAll} from './checks/all_checks.js';
import type {Finding} from './checks/check.js';
import {drawConnectionsAtOne} from './connections_at_one.js';
import {drawCrashingParts, drawCrashingRequests} from './crashing_requests.js';
import {drawEvacuations} from './evacuations.js';
import {
  drawFaultPlan,
  EVACUATE,
  FOREIGN_ROW,
  EARLY_ANSWER,
  ENGINE_FLOOD,
  ENGINE_PAUSE,
  LATE_STREAMS,
  MASS_KILL,
  ODD_STATUS,
  RATE_LIMIT,
  BACKOFF,
  CRASHING_PART,
  CRASHING_REQUEST,
  BRITTLE_SERVICE,
  INSTANCE_CUT,
  ONE_INSTANCE,
  STORE_SET_BACK,
  UNLISTED_LEAVING,
  VERSION_RELEASE,
  type FaultKind,
  type PlannedFault,
} from './fault_plan.js';
import {drawInstanceCuts} from './instance_cuts.js';
import {drawForeignRows} from './foreign_rows.js';
import {drawMassKills} from './mass_kills.js';
import type {History, UnhandledError} from './history.js';
import {drawRateLimits} from './rate_limits.js';
import {drawStopTurns} from './stop_turns.js';
import {drawStoreSetBacks} from './store_set_backs.js';
import {drawVersionReleases} from './version_releases.js';
import {FaultInjector} from './world/fault_injector.js';
import {StallWatch} from './world/stall_watch.js';
import {Traffic} from './world/traffic.js';
import {World} from './world/world.js';

/** Options of {@link runSoak}; defaults in brackets. */
export interface SoakOptions {
  readonly seed: number;
  readonly program: string;
  /** How long faults are applied, in ms (20,000). */
  readonly faultsForMs?: number;
  /** Processes of the real program (6). */
  readonly instances?: number;
  /** Model engines (6). */
  readonly engines?: number;
  /** Endpoints of the plain service (4). */
  readonly services?: number;
  /** Data centres, at most four; instances in one relay to each other (2). */
  readonly dataCentres?: number;
  /** Requests a second (60). */
  readonly requestsPerS?: number;
  /** Mean time between two series of faults, in ms (1,800). */
  readonly seriesEveryMs?: number;
  /** Mean time between turns of stops in a data centre, in ms (15,000). */
  readonly stopTurnsEveryMs?: number;
  /** Processor time of most instances in each 100 ms (no limit). */
  readonly quotaMs?: number;
  /** Callers connect to instances without a link in between (false). */
  readonly connectsDirectly?: boolean;
  /** Kinds of faults to apply (all). */
  readonly kinds?: readonly FaultKind[];
}

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly findings: readonly Finding[];
  readonly history: History;
  /** One line for each fault that was applied. */
  readonly faults: readonly string[];
  /** Start of the traffic, on the same clock as the times of findings. */
  readonly startedAtMs: number;
  /** Log lines of all processes of each instance. */
  readonly logs: ReadonlyMap<InstanceId, string>;
}

const ANSWER_FAULTS = [
  ENGINE_PAUSE,
  ENGINE_FLOOD,
  ODD_STATUS,
  LATE_STREAMS,
  EARLY_ANSWER,
] as const;
const DEFAULT_FAULTS_FOR_MS = 20_000;
const DEFAULT_INSTANCES = 6;
const DEFAULT_ENGINES = 6;
const DEFAULT_SERVICES = 4;
/** Gives each three instances, so that a single one left is fewer than half. */
const DEFAULT_DATA_CENTRES = 2;
const DEFAULT_REQUESTS_PER_S = 60;
/** Many callers wait for long streams or before the first request. */
const CALLERS_PER_REQUEST_PER_S = 2;
/** After the last fault: time to recover, then requests that must be served. */
const QUIET_FOR_MS = 9000;

/**
 * Runs one soak and closes its processes.
 *
 * @throws Error when an instance does not get ready in time.
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
    quotaMs: options.quotaMs,
    connectsDirectly: options.connectsDirectly,
  });
  const {history, nowMs, instances, operator} = world;
  try {
    await world.start();
    const startedAtMs = nowMs();
    const traffic = new Traffic({
      seed,
      requestsPerS,
      callers: Math.ceil(requestsPerS * CALLERS_PER_REQUEST_PER_S),
      instances,
      operator,
      history,
      nowMs,
    });
    const injector = new FaultInjector(world, traffic, startedAtMs);
    const stalls = new StallWatch(history, nowMs);
    stalls.start();
    traffic.start();
    injector.start(drawPlan(options, faultsForMs, world));
    await pause(faultsForMs);
    injector.stop();
    history.faultsEndedAtMs = nowMs();
    await pause(QUIET_FOR_MS);
    await traffic.stop();
    stalls.stop();
    await world.close();
    const logs = new Map(instances.map(({id, output}) => [id, output]));
    history.unhandledErrors.push(...listUnhandledErrors(logs));
    const findings = checkAll(history);
    return {seed, findings, history, faults: injector.log, startedAtMs, logs};
  } catch (error) {
    await world.close();
    throw error;
  }
}

/**
 * Evacuations, announcements of endpoints and turns of stops are drawn apart
 * from the others.
 */
function drawPlan(
  options: SoakOptions,
  forMs: number,
  world: World,
): PlannedFault[] {
  const {instances, endpoints} = world;
  const {seed, seriesEveryMs, stopTurnsEveryMs, kinds} = options;
  const announcing = {seed, forMs, endpoints: endpoints.length};
  const drawnApart: ReadonlyArray<readonly [FaultKind, () => PlannedFault[]]> =
    [
      [
        EVACUATE,
        () =>
          drawEvacuations({seed, forMs, dataCentres: world.dataCentres.length}),
      ],
      [RATE_LIMIT, () => drawRateLimits(announcing)],
      [UNLISTED_LEAVING, () => drawUnlistedLeavings(announcing)],
      [BACKOFF, () => drawBackoffs(announcing)],
      [CRASHING_REQUEST, () => drawCrashingRequests({seed, forMs})],
      [CRASHING_PART, () => drawCrashingParts({seed, forMs})],
      [ONE_INSTANCE, () => drawConnectionsAtOne({seed, forMs})],
      [STORE_SET_BACK, () => drawStoreSetBacks({seed, forMs})],
      [BRITTLE_SERVICE, () => drawBrittleServices({seed, forMs})],
      [INSTANCE_CUT, () => drawInstanceCuts({seed, forMs})],
      [VERSION_RELEASE, () => drawVersionReleases({seed, forMs})],
      [FOREIGN_ROW, () => drawForeignRows({seed, forMs})],
      [MASS_KILL, () => drawMassKills({seed, forMs})],
      ...ANSWER_FAULTS.map(
        kind => [kind, () => drawAnswerFaults({kind, seed, forMs})] as const,
      ),
    ];
  const faults = [
    ...drawFaultPlan({seed, forMs, seriesEveryMs, kinds}),
    ...drawnApart
      .filter(([kind]) => kinds?.includes(kind) !== false)
      .flatMap(([, draw]) => draw()),
  ];
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

/** Lines of these events aren't expected whatever other processes do. */
const UNEXPECTED = /"event":"(task_failed|process_failed|rows?_not_applied)"/;

function listUnhandledErrors(
  logs: ReadonlyMap<InstanceId, string>,
): UnhandledError[] {
  return [...logs].flatMap(([instance, text]) =>
    text
      .split('\n')
      .filter(line => UNEXPECTED.test(line))
      .map(line => ({instance, line})),
  );
}

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}
