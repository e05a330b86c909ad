/** Simulates instances in front of engines of different speeds. */

import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type PromptPartId,
} from '@snipestage/types/ids.js';
import {DataCentreReach} from '../data_centre_reach.js';
import {DemandMeter, DemandSource, type RouteDemand} from '../demand_meter.js';
import {EndpointMonitor, type ReportedLoad} from '../endpoint_monitor.js';
import {EndpointRates} from '../endpoint_rates.js';
import {LoadControls} from '../load_controls.js';
import type {PaceSample} from '../pace_view.js';
import {workOf, type Prompt} from '../prompt.js';
import {PromptPlacement} from '../prompt_placement.js';
import type {Route} from '../route.js';
import type {ServingEndpoint} from '../serving_endpoint.js';
import {makeEndpoint, REPAIR} from '../test_support/fixtures.js';
import {UnevenEngine} from './uneven_engine.js';

/** A kind of request and its rate. */
export interface UnevenTraffic {
  readonly route: Route;
  readonly tokens: number;
  readonly sharedTokens: number;
  /** Number of shared parts among which requests are distributed. */
  readonly topics: number;
  readonly meanEvents: number;
  readonly requestsPerS: number;
  /** A time of more requests, with shared parts that no engine has (none). */
  readonly burst?: {readonly fromMs: number; readonly factor: number};
}

export interface UnevenScenario {
  readonly instances: number;
  readonly dataCentres: number;
  /** Durations of work at the engines, relative to usual. */
  readonly speeds: readonly number[];
  readonly capacity: number;
  readonly traffic: readonly UnevenTraffic[];
  readonly areControlsOn: boolean;
  /** Whether loads and paces reach other instances (true). */
  readonly hasRelays?: boolean;
  readonly durationMs: number;
  /** Requests sent before this time aren't counted. */
  readonly countFromMs: number;
  /** At least 0 and below 1. */
  readonly random: () => number;
}

/** Outcome of the requests of a route. */
export interface UnevenOutcome {
  readonly sent: number;
  /** Share with a late first event. */
  readonly lateFirst: number;
  /** Share with a pause above the target. */
  readonly latePause: number;
  /** Share that missed either target. */
  readonly late: number;
  /** Share at engines slower than usual. */
  readonly atSlow: number;
}

/** Demand moves between data centres by this share, in waves. */
const WAVE_SHARE = 0.55;
const WAVE_MS = 17_000;
const REPORT_EVERY_MS = 500;
/** Time from an engine's answer until other instances know it, beyond waiting. */
const REPORT_DELAY_MS = 700;
const STEP_MS = 10;

interface Instance {
  readonly dataCentre: DataCentreId;
  readonly monitor: EndpointMonitor;
  readonly recent: DemandMeter;
  readonly rates: EndpointRates;
  readonly placement: PromptPlacement;
}

interface Sent {
  readonly kind: number;
  readonly sentAtMs: number;
  readonly endpoint: EndpointId;
  readonly eventsAtMs: readonly number[];
}

interface Report {
  readonly dueAtMs: number;
  readonly loads: ReadonlyMap<EndpointId, {load: ReportedLoad; atMs: number}>;
  readonly paces: ReadonlyMap<EndpointId, {sample: PaceSample; by: Instance}>;
}

class FixedDemand extends DemandSource {
  constructor(private readonly traffic: readonly UnevenTraffic[]) {
    super();
  }

  read(): readonly RouteDemand[] {
    return this.traffic.map(each => ({
      route: each.route.id,
      pauseTargetMs: each.route.pauseTargetMs,
      workPerS: workOf(composePrompt(each, 0), true) * each.requestsPerS,
      requestsPerS: each.requestsPerS,
      meanPromptTokens: each.tokens,
    }));
  }
}

/** Runs a scenario with the production placement. */
export class UnevenSimulation {
  readonly instances: readonly Instance[];
  readonly endpoints: readonly ServingEndpoint[];
  private readonly engines = new Map<EndpointId, UnevenEngine>();
  private readonly sent: Sent[] = [];
  private loads = new Map<EndpointId, {load: ReportedLoad; atMs: number}>();
  private paces = new Map<EndpointId, {sample: PaceSample; by: Instance}>();
  private reports: Report[] = [];

  constructor(private readonly scenario: UnevenScenario) {
    const {speeds, capacity, dataCentres, random} = scenario;
    this.endpoints = speeds.map((speed, index) =>
      makeEndpoint(`engine-${index}`, {
        capacity,
        dataCentre: nameDataCentre(index % dataCentres),
      }),
    );
    for (const [index, {id}] of this.endpoints.entries()) {
      const speed = speeds[index];
      this.engines.set(id, new UnevenEngine({speed, capacity, random}));
    }
    this.instances = Array.from({length: scenario.instances}, (_, index) =>
      this.createInstance(index),
    );
  }

  /** @returns outcomes by route, in the order of the traffic. */
  run(): readonly UnevenOutcome[] {
    const {durationMs, traffic, random} = this.scenario;
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
      for (const engine of this.engines.values()) engine.advance(nowMs);
      if (nowMs % REPORT_EVERY_MS === 0) this.collect(nowMs);
      this.deliver(nowMs);
      for (const [kind, {requestsPerS, burst}] of traffic.entries()) {
        const factor = nowMs >= (burst?.fromMs ?? Infinity) ? burst!.factor : 1;
        const expected = (requestsPerS * factor * STEP_MS) / 1000;
        for (let left = expected - random(); left > 0; left -= 1)
          this.send(kind, nowMs);
      }
    }
    for (const engine of this.engines.values()) engine.advance(durationMs * 3);
    return traffic.map((_, kind) => this.summarise(kind));
  }

  private createInstance(index: number): Instance {
    const {dataCentres, traffic, areControlsOn, random} = this.scenario;
    const monitor = new EndpointMonitor();
    const recent = new DemandMeter({halfLifeMs: 1500});
    const rates = new EndpointRates({
      runningAt: (id, nowMs) =>
        monitor.estimateLoad(id, nowMs) - monitor.estimateWaiting(id, nowMs),
      onSample: sample =>
        this.paces.set(sample.endpoint, {sample, by: this.instances[index]}),
    });
    const placement = new PromptPlacement({
      monitor,
      recent,
      reach: new DataCentreReach(),
      demand: new FixedDemand(traffic),
      controls: new LoadControls({isCapacityScarce: areControlsOn}),
      correction: rates,
      random,
    });
    const dataCentre = nameDataCentre(index % dataCentres);
    return {dataCentre, monitor, recent, rates, placement};
  }

  private collect(nowMs: number): void {
    const {loads, paces} = this;
    this.reports.push({dueAtMs: nowMs + REPORT_DELAY_MS, loads, paces});
    this.loads = new Map();
    this.paces = new Map();
  }

  private deliver(nowMs: number): void {
    if (this.scenario.hasRelays === false) return;
    while (this.reports.length > 0 && this.reports[0].dueAtMs <= nowMs) {
      const {loads, paces} = this.reports.shift()!;
      for (const instance of this.instances) {
        for (const [id, {load, atMs}] of loads)
          instance.monitor.noteReportedLoad(id, load, atMs);
        for (const {sample, by} of paces.values()) {
          if (by !== instance) instance.rates.noteReported(sample, REPAIR);
        }
      }
    }
  }

  private pickInstance(nowMs: number): Instance {
    const {random, dataCentres} = this.scenario;
    for (;;) {
      const index = Math.floor(random() * this.instances.length);
      const phase = (nowMs / WAVE_MS + (index % dataCentres) / dataCentres) % 1;
      const weight = 1 + WAVE_SHARE * Math.sin(2 * Math.PI * phase);
      if (random() * (1 + WAVE_SHARE) < weight) return this.instances[index];
    }
  }

  private send(kind: number, nowMs: number): void {
    const {traffic, random} = this.scenario;
    const {route, topics, meanEvents, burst} = traffic[kind];
    const instance = this.pickInstance(nowMs);
    const {monitor, rates} = instance;
    const isCold = nowMs >= (burst?.fromMs ?? Infinity);
    const topic = Math.floor(random() * topics) + (isCold ? topics : 0);
    const prompt = composePrompt(traffic[kind], topic);
    instance.recent.count(REPAIR, route, prompt, nowMs);
    const placed = instance.placement.choose(this.endpoints, {
      route,
      prompt,
      dataCentre: instance.dataCentre,
      excluded: new Set(),
      avoided: new Set(),
      nowMs,
    })!;
    const {endpoint, cacheSource} = placed;
    const engine = this.engines.get(endpoint.id)!;
    const events = Math.max(
      2,
      Math.round(-meanEvents * Math.log(1 - random())),
    );
    const eventsAtMs: number[] = [];
    const attempt = {endpoint, route, prompt, sentAtMs: nowMs};
    let workTimeRatio: number | undefined;
    monitor.begin(endpoint.id, 1, nowMs);
    engine.add(
      {
        prompt,
        source: cacheSource && this.engines.get(cacheSource.id),
        sentAtMs: nowMs,
        events,
        eventsAtMs,
        onHead: (load, atMs) => {
          workTimeRatio = load.workTimeRatio;
          this.loads.set(endpoint.id, {load, atMs});
          monitor.noteLoad(endpoint.id, load, atMs);
        },
        onFirstEvent: atMs => rates.noteFirstEvent(attempt, atMs),
        onEnd: atMs => {
          monitor.end(endpoint.id, 1);
          const pausesMs = findPauses(eventsAtMs);
          rates.noteEnded(
            attempt,
            {isAnswered: true, outcome: 'answered', pausesMs, workTimeRatio},
            atMs,
          );
        },
      },
      nowMs,
    );
    this.sent.push({kind, sentAtMs: nowMs, endpoint: endpoint.id, eventsAtMs});
  }

  private summarise(kind: number): UnevenOutcome {
    const {traffic, countFromMs, speeds} = this.scenario;
    const {latencyTargetMs, pauseTargetMs = Infinity} = traffic[kind].route;
    const counted = this.sent.filter(
      each => each.kind === kind && each.sentAtMs >= countFromMs,
    );
    const shareOf = (isCounted: (each: Sent) => boolean) =>
      Number((counted.filter(isCounted).length / counted.length).toFixed(3));
    const isLateFirst = ({eventsAtMs, sentAtMs}: Sent) =>
      !(eventsAtMs[0] - sentAtMs <= latencyTargetMs);
    const isLatePause = ({eventsAtMs}: Sent) =>
      findPauses(eventsAtMs).some(pauseMs => pauseMs > pauseTargetMs);
    const slow = this.endpoints.filter((_, index) => speeds[index] > 1);
    const slowIds = new Set(slow.map(({id}) => id));
    return {
      sent: counted.length,
      lateFirst: shareOf(isLateFirst),
      latePause: shareOf(isLatePause),
      late: shareOf(each => isLateFirst(each) || isLatePause(each)),
      atSlow: shareOf(({endpoint}) => slowIds.has(endpoint)),
    };
  }
}

function findPauses(eventsAtMs: readonly number[]): readonly number[] {
  return eventsAtMs.slice(1).map((atMs, index) => atMs - eventsAtMs[index]);
}

function nameDataCentre(index: number): DataCentreId {
  return brandAs<DataCentreId>(`centre-${index}`);
}

function composePrompt(
  {route, tokens, sharedTokens, meanEvents}: UnevenTraffic,
  topic: number,
): Prompt {
  const shared = `${route.id}-${topic}`;
  return {
    tokens,
    maxOutputTokens: meanEvents * 3,
    expectedOutputTokens: undefined,
    parts: [
      {id: brandAs<PromptPartId>(shared), tokens: sharedTokens},
      {
        id: brandAs<PromptPartId>(`${shared}-own`),
        tokens: tokens - sharedTokens,
      },
    ],
  };
}
