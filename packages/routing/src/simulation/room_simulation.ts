/** Simulates instances that place and refuse prompts by the room at engines. */

import {
  brandAs,
  type ClientAccountId,
  type EndpointId,
  type PromptPartId,
} from '@snipestage/types/ids.js';
import {DataCentreReach} from '../data_centre_reach.js';
import {DemandMeter} from '../demand_meter.js';
import {EndpointMonitor, type ReportedLoad} from '../endpoint_monitor.js';
import {EngineRoom} from '../engine_room.js';
import {FairShares} from '../fair_shares.js';
import {LoadControls} from '../load_controls.js';
import {CombinedCorrection, type ObservedAttempt} from '../load_correction.js';
import {
  decideByAll,
  type ArrivedRequest,
  type LoadShedder,
} from '../load_shedder.js';
import type {Prompt} from '../prompt.js';
import {PromptPlacement} from '../prompt_placement.js';
import {RefusedSessions} from '../refused_sessions.js';
import {RoomPressure} from '../room_pressure.js';
import {RoomShedder} from '../room_shedder.js';
import type {Route} from '../route.js';
import {SplitRoutes} from '../split_routes.js';
import type {ServingEndpoint} from '../serving_endpoint.js';
import {AKL_A, makeEndpoint} from '../test_support/fixtures.js';
import {TokenEngine} from './token_engine.js';

/** Requests of one route. */
export interface TokenTraffic {
  readonly route: Route;
  /** 0 is served first. */
  readonly rank: number;
  readonly promptTokens: number;
  readonly sharedTokens: number;
  readonly outputTokens: number;
  /** Number of different shared parts. */
  readonly topics: number;
  /** Rate before and after the burst. */
  readonly requestsPerS: number;
  /** Rate in the burst. */
  readonly burstPerS: number;
}

/** Options of {@link simulateRoom}; defaults in brackets. */
export interface RoomScenario {
  readonly traffic: readonly TokenTraffic[];
  readonly engines: number;
  readonly instances: number;
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerMs: number;
  readonly stepMs: number;
  readonly burst: {readonly fromMs: number; readonly untilMs: number};
  readonly durationMs: number;
  readonly areControlsOn: boolean;
  /** Relative rates of the accounts in the burst (24 equal ones). */
  readonly accountWeights?: readonly number[];
  /** Whether loads reach other instances (true). */
  readonly areLoadsShared?: boolean;
  /** At least 0 and below 1. */
  readonly random: () => number;
}

/** Counts of one kind of requests. */
export interface RoomOutcome {
  asked: number;
  /** Began within the target, also after a refusal. */
  inTime: number;
  late: number;
  lost: number;
  refusals: number;
}

export interface RoomResult {
  readonly byRoute: readonly RoomOutcome[];
  readonly byAccount: ReadonlyMap<ClientAccountId, RoomOutcome>;
  /** The most tokens that an engine held, as a share of its memory. */
  readonly fullest: number;
  /** Refusals by reason. */
  readonly reasons: ReadonlyMap<string, number>;
  /** Largest unread text at an engine, in ms of reading. */
  readonly longestQueueMs: number;
}

interface Instance {
  readonly monitor: EndpointMonitor;
  readonly room: EngineRoom;
  readonly placement: PromptPlacement;
  readonly shedders: readonly LoadShedder[];
  readonly recent: DemandMeter;
}

interface Caller {
  readonly kind: number;
  readonly account: ClientAccountId;
  readonly instance: number;
  readonly prompt: Prompt;
  readonly outputTokens: number;
  readonly endsAtMs: number;
  readonly isReturn: boolean;
}

const STEP_MS = 5;
const RELAY_EVERY_MS = 500;
/** From the batch of one instance to all others. */
const RELAY_MS = 350;
const ACCOUNTS = 24;

/**
 * Simulates a burst. An instance's clients are drawn for each account, so that
 * instances see accounts unevenly.
 *
 * @example
 * const {byRoute} = simulateRoom(scenario);
 */
export function simulateRoom(scenario: RoomScenario): RoomResult {
  return new RoomSimulation(scenario).run();
}

class RoomSimulation {
  private readonly endpoints: readonly ServingEndpoint[];
  private readonly engines = new Map<EndpointId, TokenEngine>();
  private readonly instances: readonly Instance[];
  private readonly agreed = new DemandMeter({halfLifeMs: 5000});
  private readonly latest = new Map<
    EndpointId,
    {load: ReportedLoad; atMs: number}
  >();
  private readonly byRoute: RoomOutcome[];
  private readonly byAccount = new Map<ClientAccountId, RoomOutcome>();
  private readonly reasons = new Map<string, number>();
  private readonly returns: {atMs: number; caller: Caller}[] = [];
  private batches: {atMs: number; apply: () => void}[] = [];
  private longestQueueMs = 0;
  private sessions = 0;

  constructor(private readonly scenario: RoomScenario) {
    const {engines, slots, instances, traffic} = scenario;
    this.endpoints = Array.from({length: engines}, (_, index) =>
      makeEndpoint(`engine-${index}`, {capacity: slots}),
    );
    for (const {id} of this.endpoints)
      this.engines.set(id, new TokenEngine(scenario));
    this.instances = Array.from({length: instances}, () =>
      this.createInstance(),
    );
    this.byRoute = traffic.map(() => newOutcome());
  }

  run(): RoomResult {
    const {durationMs} = this.scenario;
    let relayAtMs = 0;
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
      for (const engine of this.engines.values()) {
        engine.advance(nowMs, STEP_MS);
        const queueMs = engine.unreadTokens / this.scenario.tokensPerMs;
        this.longestQueueMs = Math.max(this.longestQueueMs, queueMs);
      }
      if (nowMs >= relayAtMs) {
        relayAtMs += RELAY_EVERY_MS;
        this.relay(nowMs);
      }
      this.arrive(nowMs);
    }
    for (const engine of this.engines.values())
      engine.restart(Number.POSITIVE_INFINITY);
    const engines = [...this.engines.values()];
    return {
      byRoute: this.byRoute,
      byAccount: this.byAccount,
      fullest: Math.max(...engines.map(({fullest}) => fullest)),
      reasons: this.reasons,
      longestQueueMs: this.longestQueueMs,
    };
  }

  private createInstance(): Instance {
    const {random, areControlsOn, memoryTokens, slots} = this.scenario;
    const monitor = new EndpointMonitor();
    const engine = {batchSize: slots, cacheTokens: memoryTokens};
    const room: EngineRoom = new EngineRoom({
      monitor,
      findEngine: () => engine,
      readInstances: () => this.scenario.instances,
      countEngines: () => this.scenario.engines,
      routesAt: (endpoint, nowMs) => split.routesAt(endpoint, nowMs),
    });
    const recent = new DemandMeter({halfLifeMs: 1500});
    const placement: PromptPlacement = new PromptPlacement({
      monitor,
      recent,
      reach: new DataCentreReach(),
      demand: this.agreed,
      controls: new LoadControls({isCapacityScarce: areControlsOn}),
      correction: new CombinedCorrection([room]),
      random,
    });
    const split: SplitRoutes = new SplitRoutes({
      readSplit: (_, nowMs) => placement.listRoutes(this.endpoints, nowMs),
    });
    const pressure = new RoomPressure({
      room,
      listEligible: (candidates, route, nowMs) =>
        placement.listEligible(candidates, route, nowMs),
    });
    const sessions = new RefusedSessions({random});
    const shares = new FairShares({pressure, sessions, random});
    const readShedShare = (request: ArrivedRequest) =>
      shares.readShedShare(request);
    const shedder = new RoomShedder({
      pressure,
      sessions,
      readShedShare,
      random,
    });
    const shedders = areControlsOn ? [shares, shedder] : [];
    return {monitor, room, placement, shedders, recent};
  }

  private relay(nowMs: number): void {
    if (this.scenario.areLoadsShared === false) return;
    const readings = [...this.latest];
    this.batches.push({
      atMs: nowMs + RELAY_MS,
      apply: () => {
        for (const {monitor} of this.instances)
          for (const [id, {load, atMs}] of readings)
            monitor.noteReportedLoad(id, load, atMs);
      },
    });
  }

  private arrive(nowMs: number): void {
    const due = this.batches.filter(({atMs}) => atMs <= nowMs);
    for (const {apply} of due) apply();
    this.batches = this.batches.filter(({atMs}) => atMs > nowMs);
    const {traffic, burst, random} = this.scenario;
    const isBurst = nowMs >= burst.fromMs && nowMs < burst.untilMs;
    for (const [kind, each] of traffic.entries()) {
      const perS = isBurst ? each.burstPerS : each.requestsPerS;
      if (random() < (perS * STEP_MS) / 1000)
        this.ask(this.drawCaller(kind, isBurst, nowMs), nowMs);
    }
    while (this.returns.length > 0 && this.returns[0].atMs <= nowMs)
      this.ask(this.returns.shift()!.caller, nowMs);
  }

  private drawCaller(kind: number, isBurst: boolean, nowMs: number): Caller {
    const {traffic, random, instances, accountWeights} = this.scenario;
    const {route, promptTokens, sharedTokens, outputTokens, topics} =
      traffic[kind];
    const weights = (isBurst && accountWeights) || Array(ACCOUNTS).fill(1);
    const account = drawIndex(weights, random);
    const topic = Math.floor(random() * topics);
    this.sessions += 1;
    return {
      kind,
      account: brandAs<ClientAccountId>(`account-${account}`),
      instance: Math.floor(random() * instances),
      prompt: {
        tokens: promptTokens,
        maxOutputTokens: 8 * outputTokens,
        expectedOutputTokens: outputTokens,
        parts: [
          {
            id: brandAs<PromptPartId>(`${route.id}-${topic}`),
            tokens: sharedTokens,
          },
          {
            id: brandAs<PromptPartId>(`own-${this.sessions}`),
            tokens: promptTokens - sharedTokens,
          },
        ],
      },
      outputTokens: outputTokens * (0.5 + random()),
      endsAtMs: nowMs + route.timeoutMs,
      isReturn: false,
    };
  }

  private ask(caller: Caller, nowMs: number): void {
    const {route, rank} = this.scenario.traffic[caller.kind];
    const instance = this.instances[caller.instance];
    const {service} = this.endpoints[0];
    const {prompt, account, endsAtMs} = caller;
    if (!caller.isReturn)
      for (const each of this.outcomesOf(caller)) each.asked += 1;
    this.agreed.count(service, route, prompt, nowMs);
    instance.recent.count(service, route, prompt, nowMs);
    const request: ArrivedRequest = {
      service,
      route,
      prompt,
      clientAccount: account,
      urgencyRank: rank,
      candidates: this.endpoints,
      arrivedAtMs: nowMs,
      endsAtMs,
      nowMs,
    };
    const decision = decideByAll(instance.shedders, request);
    if (decision.kind === 'admit') {
      this.send(caller, instance, nowMs);
      return;
    }
    const {reason, retryAfterMs} = decision;
    this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1);
    for (const each of this.outcomesOf(caller)) {
      each.refusals += 1;
      if (caller.isReturn) each.lost += 1;
    }
    if (caller.isReturn) return;
    this.returns.push({
      atMs: nowMs + retryAfterMs,
      caller: {...caller, isReturn: true},
    });
    this.returns.sort((one, other) => one.atMs - other.atMs);
  }

  private send(caller: Caller, instance: Instance, nowMs: number): void {
    const {route, rank} = this.scenario.traffic[caller.kind];
    const {monitor, room, placement} = instance;
    const {prompt, outputTokens} = caller;
    const placed = placement.choose(this.endpoints, {
      route,
      prompt,
      dataCentre: AKL_A,
      excluded: new Set(),
      avoided: new Set(),
      nowMs,
    });
    if (placed === undefined) throw new Error('placement chose no engine');
    const {endpoint} = placed;
    const attempt: ObservedAttempt = {endpoint, route, prompt, sentAtMs: nowMs};
    monitor.begin(endpoint.id, 1, nowMs);
    room.noteSent(attempt);
    let firstAtMs: number | undefined;
    this.engines.get(endpoint.id)!.add({
      prompt,
      outputTokens,
      rank,
      sentAtMs: nowMs,
      leavesAtMs: caller.endsAtMs,
      onBegun: (load, atMs) => {
        firstAtMs = atMs;
        monitor.noteLoad(endpoint.id, load, atMs);
        this.latest.set(endpoint.id, {load, atMs});
        room.noteFirstEvent(attempt, atMs);
      },
      onEnded: (isComplete, atMs) => {
        monitor.end(endpoint.id, 1);
        const outcome = isComplete ? 'answered' : undefined;
        const end = {
          isAnswered: isComplete,
          outcome,
          pausesMs: [],
          workTimeRatio: undefined,
        } as const;
        room.noteEnded(attempt, end, atMs);
        if (atMs === Number.POSITIVE_INFINITY) return;
        this.settle(caller, isComplete, (firstAtMs ?? atMs) - nowMs);
      },
    });
  }

  private settle(caller: Caller, isComplete: boolean, waitMs: number): void {
    const {latencyTargetMs} = this.scenario.traffic[caller.kind].route;
    for (const each of this.outcomesOf(caller)) {
      if (!isComplete) each.lost += 1;
      else if (waitMs <= latencyTargetMs) each.inTime += 1;
      else each.late += 1;
    }
  }

  private outcomesOf({kind, account}: Caller): readonly RoomOutcome[] {
    const ofAccount = this.byAccount.get(account) ?? newOutcome();
    this.byAccount.set(account, ofAccount);
    return [this.byRoute[kind], ofAccount];
  }
}

function newOutcome(): RoomOutcome {
  return {asked: 0, inTime: 0, late: 0, lost: 0, refusals: 0};
}

function drawIndex(weights: readonly number[], random: () => number): number {
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return index;
  }
  return weights.length - 1;
}
