/** Simulates instances that place prompts on engines of which some just start. */

import {createSeededRandom} from '@snipestage/policy/random_source.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import {DataCentreReach} from '../data_centre_reach.js';
import {DemandMeter} from '../demand_meter.js';
import {EndpointMonitor, type EndpointOutcome} from '../endpoint_monitor.js';
import {LoadControls} from '../load_controls.js';
import type {AttemptEnd, ObservedAttempt} from '../load_correction.js';
import {LoadView} from '../load_view.js';
import type {Prompt} from '../prompt.js';
import {PromptPlacement} from '../prompt_placement.js';
import type {ServingEndpoint} from '../serving_endpoint.js';
import {StartPace} from '../start_pace.js';
import {
  AKL_A,
  makeEndpoint,
  makePrompt,
  QUOTE,
} from '../test_support/fixtures.js';
import {SimulatedEngine, type AnsweredLoad} from './simulated_engine.js';

/** Load, and which engines start or recover; defaults in brackets. */
export interface StartPattern {
  /** Engines that serve from the beginning. */
  readonly settled: number;
  /** Engines with empty caches that start or recover at 7,000 ms. */
  readonly started: number;
  /** Whether these were there before and unreachable for 4 s (false). */
  readonly isRecovery?: boolean;
  /** Prompts with shared prefixes, for each settled engine. */
  readonly longPerS: number;
  /** Prompts without. */
  readonly mediumPerS: number;
  /** Duration of work at the started engines, relative (1). */
  readonly startedSlowness?: number;
  /** Duration of work at all engines from their start on, relative (1). */
  readonly slowness?: number;
}

/** A request that was sent to an engine. */
export interface SentRequest {
  readonly isStarted: boolean;
  /** Time since the start. */
  readonly afterMs: number;
  /** Undefined while it has no first event. */
  waitMs: number | undefined;
}

/** What became of a pattern. */
export interface StartOutcome {
  readonly sent: readonly SentRequest[];
  /** Mean share of the started engines at all instances, each 100 ms. */
  readonly shares: readonly number[];
}

export const STARTS_AT_MS = 7000;
const ENDS_AT_MS = 15_000;
/** How long engines that recover were unreachable. */
const DOWN_MS = 4000;
const INSTANCES = 20;
const TICK_MS = 10;
const SHARES_EVERY_MS = 100;
/** Age at which a load reaches the other instances. */
const REPORT_AGE_MS = 800;
const CAPACITY = 64;
const TOKENS_PER_MS = 64;
const PREFIXES_PER_ENGINE = 14;
const PREFIX_TOKENS = 13_300;
const OWN_TOKENS = 3720;
const MEDIUM_TOKENS = 9200;
const DURATION_MS = 500;
const CALLER_WAITS_MS = 10_000;
const LISTED = {restarted: [], disturbedSinceMs: undefined};

/** One instance with its own view of the engines. */
class Instance {
  readonly monitor = new EndpointMonitor();
  readonly pace: StartPace;
  readonly view: LoadView;
  readonly placement: PromptPlacement;

  constructor(simulation: StartSimulation, random: () => number) {
    const {monitor} = this;
    const {demand, isPaced} = simulation;
    this.pace = new StartPace({
      monitor,
      isOn: () => isPaced,
      findServing: () => simulation.listed,
    });
    this.view = new LoadView({
      monitor,
      isShared: () => true,
      onReported: (reading, nowMs) => this.pace.noteReported(reading, nowMs),
    });
    this.placement = new PromptPlacement({
      monitor,
      reach: new DataCentreReach(),
      demand,
      recent: new DemandMeter(),
      controls: new LoadControls({isCapacityScarce: isPaced}),
      correction: this.pace,
      random,
    });
  }

  end(attempt: ObservedAttempt, outcome: EndpointOutcome, nowMs: number): void {
    const {id} = attempt.endpoint;
    this.monitor.end(id, attempt.prompt?.tokens ?? 0);
    this.monitor.note(id, outcome, nowMs);
    const end: AttemptEnd = {
      isAnswered: outcome === 'answered',
      outcome,
      pausesMs: [],
      workTimeRatio: undefined,
    };
    this.pace.noteEnded(attempt, end, nowMs);
  }
}

interface Unbegun {
  readonly request: {readonly begunAtMs: number | undefined};
  readonly begin: (atMs: number) => void;
}

/** Plays a pattern once; the same seed gives the same outcome. */
export class StartSimulation {
  readonly demand = new DemandMeter();
  listed: readonly ServingEndpoint[];
  private readonly engines: readonly ServingEndpoint[];
  private readonly machines = new Map<EndpointId, SimulatedEngine>();
  private readonly caches = new Map<EndpointId, Set<string>>();
  private readonly random: () => number;
  private readonly instances: readonly Instance[];
  private readonly sent: SentRequest[] = [];
  private readonly shares: number[] = [];
  private unbegun: Unbegun[] = [];
  private reports: (AnsweredLoad & {readonly endpoint: EndpointId})[] = [];
  private readonly reported = new Map<EndpointId, AnsweredLoad>();
  private nowMs = 0;
  private mediumCount = 0;

  /** @param isPaced whether the load controls are on. */
  constructor(
    private readonly pattern: StartPattern,
    readonly isPaced: boolean,
    seed: number,
  ) {
    const {settled, started, isRecovery = false} = pattern;
    this.random = createSeededRandom(seed);
    this.engines = Array.from({length: settled + started}, (_, index) =>
      makeEndpoint(`${index < settled ? 'settled' : 'started'}-${index}`),
    );
    for (const {id} of this.engines) {
      this.machines.set(id, new SimulatedEngine(CAPACITY));
      this.caches.set(id, new Set());
    }
    this.listed = isRecovery ? this.engines : this.engines.slice(0, settled);
    this.instances = Array.from(
      {length: INSTANCES},
      () => new Instance(this, this.random),
    );
  }

  play(): StartOutcome {
    const {longPerS, mediumPerS, settled} = this.pattern;
    this.list();
    let longs = 0;
    let mediums = 0;
    for (; this.nowMs < ENDS_AT_MS; this.nowMs += TICK_MS) {
      if (this.nowMs === STARTS_AT_MS) this.list(this.engines);
      this.advance();
      longs += (longPerS * settled * TICK_MS) / 1000;
      mediums += (mediumPerS * settled * TICK_MS) / 1000;
      for (; longs >= 1; longs -= 1) this.sendLong();
      for (; mediums >= 1; mediums -= 1) this.sendMedium();
      const afterMs = this.nowMs - STARTS_AT_MS;
      if (afterMs >= 0 && afterMs % SHARES_EVERY_MS === 0) this.readShares();
    }
    return {sent: this.sent, shares: this.shares};
  }

  private list(listed = this.listed): void {
    this.listed = listed;
    for (const {pace} of this.instances) {
      pace.noteListed(listed, LISTED, this.nowMs);
    }
  }

  private readShares(): void {
    const started = this.engines.filter(each => this.isStarted(each.id));
    const shares = this.instances.flatMap(({pace}) =>
      started.map(each => pace.find(each, this.nowMs) ?? 1),
    );
    const sum = shares.reduce((total, share) => total + share, 0);
    this.shares.push(sum / shares.length);
  }

  private isStarted(id: EndpointId): boolean {
    return id.startsWith('started');
  }

  private isDown(id: EndpointId): boolean {
    const downSinceMs = STARTS_AT_MS - DOWN_MS;
    const isDown = this.nowMs >= downSinceMs && this.nowMs < STARTS_AT_MS;
    return isDown && this.isStarted(id);
  }

  private advance(): void {
    for (const [endpoint, machine] of this.machines) {
      machine.advance(this.nowMs);
      const {answered} = machine;
      if (answered === undefined) continue;
      if (this.reported.get(endpoint) === answered) continue;
      this.reported.set(endpoint, answered);
      this.reports.push({endpoint, ...answered});
    }
    const hasBegun = ({request}: Unbegun) => request.begunAtMs !== undefined;
    const begun = this.unbegun.filter(hasBegun);
    this.unbegun = this.unbegun.filter(each => !hasBegun(each));
    for (const {request, begin} of begun) begin(request.begunAtMs!);
    const isDue = ({atMs}: AnsweredLoad): boolean =>
      this.nowMs - atMs >= REPORT_AGE_MS;
    for (const report of this.reports.filter(isDue)) {
      for (const {view} of this.instances) {
        view.addReported(report, 'remote', this.nowMs);
      }
    }
    this.reports = this.reports.filter(each => !isDue(each));
  }

  private sendLong(): void {
    const prefixes = this.pattern.settled * PREFIXES_PER_ENGINE;
    const prefix = `prefix-${Math.floor(this.random() * prefixes)}`;
    this.send(makePrompt(prefix, PREFIX_TOKENS, OWN_TOKENS));
  }

  private sendMedium(): void {
    this.mediumCount += 1;
    this.send(makePrompt(`medium-${this.mediumCount}`, 0, MEDIUM_TOKENS));
  }

  /** Failures to connect are retried elsewhere. */
  private send(prompt: Prompt): void {
    const {nowMs} = this;
    const instance = this.instances[Math.floor(this.random() * INSTANCES)];
    const excluded = new Set<EndpointId>();
    this.demand.count(this.engines[0].service, QUOTE, prompt, nowMs);
    for (;;) {
      const endpoint = instance.placement.choose(this.listed, {
        route: QUOTE,
        prompt,
        dataCentre: AKL_A,
        excluded,
        avoided: new Set(),
        nowMs,
      })!.endpoint;
      const attempt = {endpoint, route: QUOTE, prompt, sentAtMs: nowMs};
      instance.monitor.begin(endpoint.id, prompt.tokens, nowMs);
      instance.pace.noteSent(attempt);
      if (!this.isDown(endpoint.id)) return this.run(instance, attempt, prompt);
      instance.end(attempt, 'unreachable', nowMs);
      excluded.add(endpoint.id);
    }
  }

  private run(
    instance: Instance,
    attempt: ObservedAttempt,
    prompt: Prompt,
  ): void {
    const {id} = attempt.endpoint;
    const {sentAtMs: atMs} = attempt;
    const entry: SentRequest = {
      isStarted: this.isStarted(id),
      afterMs: atMs - STARTS_AT_MS,
      waitMs: undefined,
    };
    const slowness = this.slownessAt(id);
    const request = {
      endpoint: id,
      tier: 1,
      atMs,
      leavesAtMs: atMs + CALLER_WAITS_MS,
      prefillMs: (this.readTokens(id, prompt) / TOKENS_PER_MS) * slowness,
      durationMs: DURATION_MS * slowness,
      begunAtMs: undefined,
      onEnd: () => instance.end(attempt, 'answered', this.nowMs),
    };
    const begin = (begunAtMs: number): void => {
      entry.waitMs = begunAtMs - atMs;
      instance.pace.noteFirstEvent(attempt, begunAtMs);
    };
    this.sent.push(entry);
    this.unbegun.push({request, begin});
    this.machines.get(id)!.add(request);
  }

  private slownessAt(id: EndpointId): number {
    const {startedSlowness = 1, slowness = 1} = this.pattern;
    const own = this.isStarted(id) ? startedSlowness : 1;
    return this.nowMs < STARTS_AT_MS ? own : own * slowness;
  }

  /** Tokens that the engine has to process; its cache keeps all prefixes. */
  private readTokens(id: EndpointId, prompt: Prompt): number {
    const [prefix] = prompt.parts;
    const cache = this.caches.get(id)!;
    if (this.nowMs < STARTS_AT_MS && this.isStarted(id)) return prompt.tokens;
    if (cache.has(prefix.id)) return prompt.tokens - prefix.tokens;
    cache.add(prefix.id);
    return prompt.tokens;
  }
}
