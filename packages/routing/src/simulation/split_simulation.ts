/** Simulates instances that place prompts by load reports of a given age. */

import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type PromptPartId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {DataCentreReach} from '../data_centre_reach.js';
import {DemandMeter, DemandSource, type RouteDemand} from '../demand_meter.js';
import {EndpointMonitor} from '../endpoint_monitor.js';
import {LoadView, type LoadReading} from '../load_view.js';
import type {Prompt} from '../prompt.js';
import {PromptPlacement} from '../prompt_placement.js';
import type {Route} from '../route.js';
import type {EndpointAddress, ServingEndpoint} from '../serving_endpoint.js';
import {RecentDurations} from '../recent_durations.js';
import {overdueAfterMs} from '../silence_limits.js';
import {
  SimulatedEngine,
  type SimulatedRequest,
  type SimulatedStall,
} from './simulated_engine.js';

/** A kind of request and its rate. */
export interface SimulatedTraffic {
  readonly route: Route;
  readonly promptTokens: number;
  readonly sharedTokens: number;
  readonly outputTokens: number;
  /** How long an engine reads one's prompt (0). */
  readonly prefillMs?: number;
  /** How long one takes on an otherwise idle engine. */
  readonly durationMs: number;
  /** Callers leave when nothing has begun after this time. */
  readonly patienceMs: number;
  readonly requestsPerS: number;
  /** Rate by the agreed demand; differs from the actual one in a burst. */
  readonly agreedPerS: number;
}

export interface SplitScenario {
  readonly instances: number;
  readonly engines: number;
  readonly dataCentres: number;
  /** Requests that an engine processes at once. */
  readonly capacity: number;
  readonly traffic: readonly SimulatedTraffic[];
  /** Interval at which the loads reported with answers reach all instances. */
  readonly reportEveryMs: number;
  /** Engines that stand still (none). */
  readonly stalls?: SimulatedStalls;
  readonly durationMs: number;
  /** At least 0 and below 1. */
  readonly random: () => number;
}

/** Engines that stand still: those with most requests of the first route. */
export interface SimulatedStalls extends SimulatedStall {
  readonly engines: number;
}

/** Outcome of the requests of a route. */
export interface SplitOutcome {
  readonly sent: number;
  /** Requests whose callers left before an engine had begun. */
  readonly lost: number;
  /** Mean wait of those that began. */
  readonly meanWaitMs: number;
  /** Most requests that an engine got within a second. */
  readonly mostInASecond: number;
  /** Largest share of the requests that one engine got. */
  readonly largestShare: number;
  /** Largest share lost of the requests sent within five seconds. */
  readonly worstLostShare: number;
}

const SERVICE = brandAs<ServiceId>('engines');
/** Number of shared prefixes of each route. */
const TOPIC_COUNT = 40;
const SECOND_MS = 1000;
/** Time until other instances know that an engine is silent. */
const SILENCE_SHARED_AFTER_MS = 200;
const LOSS_WINDOW_MS = 5000;
const LOSS_WINDOW_STEP_MS = 250;

/** Agreed demand that doesn't change during the simulation. */
class FixedDemand extends DemandSource {
  constructor(private readonly traffic: readonly SimulatedTraffic[]) {
    super();
  }

  read(): readonly RouteDemand[] {
    return this.traffic.map(each => ({
      route: each.route.id,
      pauseTargetMs: each.route.pauseTargetMs,
      workPerS:
        (each.promptTokens - each.sharedTokens + 10 * each.outputTokens) *
        each.agreedPerS,
      requestsPerS: each.agreedPerS,
      meanPromptTokens: each.promptTokens,
    }));
  }
}

/** A request that is overdue if it hasn't begun by then. */
interface OverdueCheck {
  readonly atMs: number;
  readonly route: Route;
  readonly request: SimulatedRequest;
  readonly instance: Instance;
}

interface Instance {
  readonly dataCentre: DataCentreId;
  readonly monitor: EndpointMonitor;
  readonly loads: LoadView;
  readonly waits: RecentDurations;
  readonly recent: DemandMeter;
  readonly placement: PromptPlacement;
}

/**
 * Simulates a scenario with the production placement.
 *
 * @returns outcomes by route, in the order of the traffic.
 * @example
 * const [counter, quote] = simulateSplit(scenario);
 */
export function simulateSplit(
  scenario: SplitScenario,
): readonly SplitOutcome[] {
  return new SplitSimulation(scenario).run();
}

class SplitSimulation {
  private readonly endpoints: readonly ServingEndpoint[];
  private readonly engines = new Map<EndpointId, SimulatedEngine>();
  private readonly instances: readonly Instance[];
  private readonly requests: SimulatedRequest[][];
  /** In the order of their times. */
  private checks: OverdueCheck[] = [];
  /** Readings on their way to other instances, in the order of their times. */
  private shared: {
    readonly atMs: number;
    readonly readings: readonly LoadReading[];
  }[] = [];

  constructor(private readonly scenario: SplitScenario) {
    this.endpoints = Array.from({length: scenario.engines}, (_, index) =>
      describeEngine(scenario, index),
    );
    for (const {id} of this.endpoints) {
      this.engines.set(id, new SimulatedEngine(scenario.capacity));
    }
    this.instances = Array.from({length: scenario.instances}, (_, index) =>
      this.createInstance(index),
    );
    this.requests = scenario.traffic.map(() => []);
  }

  run(): readonly SplitOutcome[] {
    const {durationMs, reportEveryMs, stalls} = this.scenario;
    let reportAtMs = 0;
    let hasStalled = stalls === undefined;
    for (const {atMs, kind} of this.drawArrivals()) {
      if (stalls !== undefined && !hasStalled && atMs >= stalls.fromMs) {
        hasStalled = true;
        this.stall(stalls);
      }
      this.checkOverdue(atMs);
      while (reportAtMs <= atMs) {
        this.report(reportAtMs);
        reportAtMs += reportEveryMs;
      }
      this.place(kind, atMs);
    }
    for (const engine of this.engines.values()) {
      engine.advance(durationMs + 60 * SECOND_MS);
    }
    return this.requests.map(each => this.summarise(each));
  }

  private stall(stalls: SimulatedStalls): void {
    const counts = countByEngine(this.requests[0]);
    const busiest = [...this.engines].toSorted(
      ([one], [other]) => (counts.get(other) ?? 0) - (counts.get(one) ?? 0),
    );
    for (const [, engine] of busiest.slice(0, stalls.engines)) {
      engine.stallDuring(stalls);
    }
  }

  private createInstance(index: number): Instance {
    const {traffic, random, dataCentres} = this.scenario;
    const monitor = new EndpointMonitor();
    const recent = new DemandMeter({halfLifeMs: 1500});
    const placement = new PromptPlacement({
      monitor,
      recent,
      reach: new DataCentreReach(),
      demand: new FixedDemand(traffic),
      random,
    });
    return {
      dataCentre: nameDataCentre(index % dataCentres),
      monitor,
      loads: new LoadView({monitor, isShared: () => true}),
      waits: new RecentDurations(),
      recent,
      placement,
    };
  }

  private drawArrivals(): {atMs: number; kind: number}[] {
    const {traffic, durationMs, random} = this.scenario;
    const arrivals: {atMs: number; kind: number}[] = [];
    for (const [kind, {requestsPerS}] of traffic.entries()) {
      let atMs = 0;
      for (;;) {
        atMs += (-SECOND_MS * Math.log(1 - random())) / requestsPerS;
        if (atMs >= durationMs) break;
        arrivals.push({atMs, kind});
      }
    }
    return arrivals.sort((left, right) => left.atMs - right.atMs);
  }

  /** Passes the loads of the engines' latest answers to every instance. */
  private report(nowMs: number): void {
    for (const [id, engine] of this.engines) {
      engine.advance(nowMs);
      const {answered} = engine;
      if (answered === undefined) continue;
      const reading = {endpoint: id, ...answered};
      for (const {loads} of this.instances) {
        loads.addReported(reading, 'remote', nowMs);
      }
    }
  }

  /** Records overdue requests, and passes them on to every instance. */
  private checkOverdue(untilMs: number): void {
    while (this.checks.length > 0 && this.checks[0].atMs <= untilMs) {
      const {atMs, route, request, instance} = this.checks.shift()!;
      this.engines.get(request.endpoint)!.advance(atMs);
      const waitUntilMs = request.begunAtMs ?? atMs;
      instance.waits.note(route.id, waitUntilMs - request.atMs);
      if (request.begunAtMs !== undefined) continue;
      const {capacity} = this.scenario;
      instance.loads.noteSilent({id: request.endpoint, capacity}, atMs);
      const {readings} = instance.loads.changesSince(0, ['own'], atMs);
      const sharedAtMs = atMs + SILENCE_SHARED_AFTER_MS;
      this.shared.push({atMs: sharedAtMs, readings});
    }
    while (this.shared.length > 0 && this.shared[0].atMs <= untilMs) {
      const {atMs, readings} = this.shared.shift()!;
      for (const {loads} of this.instances) {
        for (const reading of readings)
          loads.addReported(reading, 'remote', atMs);
      }
    }
  }

  private place(kind: number, atMs: number): void {
    const {traffic, random, instances} = this.scenario;
    const {route, prefillMs, durationMs, patienceMs} = traffic[kind];
    const instance = this.instances[Math.floor(random() * instances)];
    const prompt = drawPrompt(traffic[kind], random);
    instance.recent.count(SERVICE, route, prompt, atMs);
    const placed = instance.placement.choose(this.endpoints, {
      route,
      prompt,
      dataCentre: instance.dataCentre,
      excluded: new Set(),
      avoided: new Set(),
      nowMs: atMs,
    });
    if (placed === undefined) throw new Error('placement chose no engine');
    const {id} = placed.endpoint;
    const request: SimulatedRequest = {
      endpoint: id,
      tier: route.tier,
      atMs,
      leavesAtMs: atMs + patienceMs,
      prefillMs,
      durationMs,
      begunAtMs: undefined,
      onEnd: () => instance.monitor.end(id, 1),
    };
    instance.monitor.begin(id, 1, atMs);
    this.requests[kind].push(request);
    this.engines.get(id)!.add(request);
    const limitMs = overdueAfterMs(route, instance.waits.p90Ms(route.id));
    this.checks.push({atMs: atMs + limitMs, route, request, instance});
    this.checks.sort((left, right) => left.atMs - right.atMs);
  }

  private summarise(requests: readonly SimulatedRequest[]): SplitOutcome {
    const begun = requests.filter(each => each.begunAtMs !== undefined);
    const waits = begun.map(({begunAtMs, atMs}) => begunAtMs! - atMs);
    const counts = new Map<string, number>();
    for (const {endpoint, atMs} of requests) {
      const key = `${endpoint} ${Math.floor(atMs / SECOND_MS)}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return {
      sent: requests.length,
      lost: requests.length - begun.length,
      meanWaitMs:
        waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, begun.length),
      mostInASecond: Math.max(0, ...counts.values()),
      largestShare:
        Math.max(0, ...countByEngine(requests).values()) /
        Math.max(1, requests.length),
      worstLostShare: findWorstLostShare(requests),
    };
  }
}

/** Windows that aren't full of requests are left out. */
function findWorstLostShare(requests: readonly SimulatedRequest[]): number {
  const lastAtMs = Math.max(0, ...requests.map(({atMs}) => atMs));
  let worst = 0;
  for (
    let fromMs = 0;
    fromMs + LOSS_WINDOW_MS <= lastAtMs;
    fromMs += LOSS_WINDOW_STEP_MS
  ) {
    const sent = requests.filter(
      ({atMs}) => atMs >= fromMs && atMs < fromMs + LOSS_WINDOW_MS,
    );
    const lost = sent.filter(({begunAtMs}) => begunAtMs === undefined);
    worst = Math.max(worst, lost.length / Math.max(1, sent.length));
  }
  return worst;
}

function countByEngine(
  requests: readonly SimulatedRequest[],
): ReadonlyMap<EndpointId, number> {
  const counts = new Map<EndpointId, number>();
  for (const {endpoint} of requests) {
    counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
  }
  return counts;
}

function nameDataCentre(index: number): DataCentreId {
  return brandAs<DataCentreId>(`centre-${index}`);
}

function describeEngine(
  {capacity, dataCentres}: SplitScenario,
  index: number,
): ServingEndpoint {
  return {
    id: brandAs<EndpointId>(`engine-${index}`),
    service: SERVICE,
    address: brandAs<EndpointAddress>('127.0.0.1:1'),
    dataCentre: nameDataCentre(index % dataCentres),
    capacity,
    isLeaving: false,
    isCheap: false,
    bornEpochMs: 1,
  };
}

function drawPrompt(
  {route, promptTokens, sharedTokens, outputTokens}: SimulatedTraffic,
  random: () => number,
): Prompt {
  const topic = `${route.id}-${Math.floor(random() * TOPIC_COUNT)}`;
  return {
    tokens: promptTokens,
    maxOutputTokens: outputTokens,
    expectedOutputTokens: undefined,
    parts: [
      {id: brandAs<PromptPartId>(topic), tokens: sharedTokens},
      {
        id: brandAs<PromptPartId>(`${topic}-own`),
        tokens: promptTokens - sharedTokens,
      },
    ],
  };
}
