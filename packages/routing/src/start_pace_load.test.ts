import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {DemandMeter} from './demand_meter.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {LoadControls} from './load_controls.js';
import {LoadView} from './load_view.js';
import type {ObservedAttempt} from './load_correction.js';
import type {Prompt} from './prompt.js';
import {PromptPlacement} from './prompt_placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {SimulatedEngine} from './simulation/simulated_engine.js';
import {StartPace} from './start_pace.js';
import {AKL_A, makeEndpoint, makePrompt, QUOTE} from './test_support/fixtures.js';

const INSTANCES = 20;
const TICK_MS = 10;
/** Age at which a load of an engine reaches the other instances. */
const REPORT_AGE_MS = 800;
const STARTS_AT_MS = 3000;
const ENDS_AT_MS = 10_000;
const TOKENS_PER_MS = 64;
const PREFIXES_PER_ENGINE = 14;
const PREFIX_TOKENS = 13_300;
const OWN_TOKENS = 3720;
const PLAIN_TOKENS = 9200;
const DURATION_MS = 500;

interface LoadPattern {
  readonly settled: number;
  readonly started: number;
  /** Per engine of those that were there before. */
  readonly longPerS: number;
  readonly mediumPerS: number;
  /** Duration of work at the started engines, relative. */
  readonly startedSlowness?: number;
  /** When and by which factor work takes longer at all engines. */
  readonly slowdown?: {readonly fromMs: number; readonly factor: number};
  readonly seed?: number;
}

interface Served {
  readonly atMs: number;
  readonly engine: EndpointId;
  readonly waitMs: number;
}

interface Outcome {
  /** Attempts at the started engines, by second since their start. */
  readonly sentBySecond: readonly number[];
  /** First-event times there, of requests sent within four seconds. */
  readonly waitsMs: readonly number[];
  readonly others: readonly number[];
  /** Share at the end of each second, as the first instance sees it. */
  readonly shares: readonly (number | undefined)[];
  /** Attempts at the started engines in their last second, relative. */
  readonly lastShare: number;
}

class Instance {
  readonly monitor = new EndpointMonitor();
  readonly pace: StartPace;
  readonly view: LoadView;
  readonly placement: PromptPlacement;
  mark = 0;

  constructor(
    serving: () => readonly ServingEndpoint[],
    demand: DemandMeter,
    controls: LoadControls,
    isPaced: boolean,
    random: () => number,
  ) {
    const {monitor} = this;
    this.pace = new StartPace({
      monitor,
      isOn: service => isPaced && controls.isOn(service),
      findServing: serving,
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
      controls,
      correction: this.pace,
      random,
    });
  }
}

/** Plays a load pattern in which engines start with empty caches. */
function play(pattern: LoadPattern, isPaced: boolean): Outcome {
  const {settled, started, longPerS, mediumPerS, slowdown} = pattern;
  const random = createSeededRandom(pattern.seed ?? 7);
  const engines = Array.from({length: settled + started}, (_, index) =>
    makeEndpoint(index < settled ? `old-${index}` : `new-${index}`),
  );
  const isStarted = (id: EndpointId) => id.startsWith('new');
  const machines = new Map(engines.map(each => [each.id, new SimulatedEngine(64)]));
  const caches = new Map(engines.map(each => [each.id, new Set<string>()]));
  let listed: readonly ServingEndpoint[] = engines.slice(0, settled);
  const demand = new DemandMeter();
  const controls = new LoadControls({isCapacityScarce: true});
  const instances = Array.from(
    {length: INSTANCES},
    () => new Instance(() => listed, demand, controls, isPaced, random),
  );
  const context = {restarted: [], disturbedSinceMs: undefined};
  for (const {pace} of instances) pace.noteListed(listed, context, 0);
  const reports: {atMs: number; id: EndpointId; load: {running: number; waiting: number; capacity: number}}[] = [];
  const reported = new Map<EndpointId, number>();
  const pendingEvents: {request: {begunAtMs: number | undefined}; done: (atMs: number) => void}[] = [];
  const served: Served[] = [];
  const sent: {atMs: number; engine: EndpointId}[] = [];
  const shares: (number | undefined)[] = [];
  let hasStarted = false;

  const send = (prompt: Prompt, nowMs: number) => {
    const instance = instances[Math.floor(random() * INSTANCES)];
    demand.count(engines[0].service, QUOTE, prompt, nowMs);
    const placed = instance.placement.choose(listed, {
      route: QUOTE,
      prompt,
      dataCentre: AKL_A,
      excluded: new Set(),
      avoided: new Set(),
      nowMs,
    })!;
    const {endpoint} = placed;
    const cache = caches.get(endpoint.id)!;
    const prefix = prompt.parts[0];
    const read = prompt.tokens - (cache.has(prefix.id) ? prefix.tokens : 0);
    if (prefix.tokens > 1000) cache.add(prefix.id);
    const slow =
      (isStarted(endpoint.id) ? (pattern.startedSlowness ?? 1) : 1) *
      (slowdown !== undefined && nowMs >= slowdown.fromMs ? slowdown.factor : 1);
    const attempt: ObservedAttempt = {endpoint, route: QUOTE, prompt, sentAtMs: nowMs};
    instance.monitor.begin(endpoint.id, prompt.tokens, nowMs);
    instance.pace.noteSent(attempt);
    const request = {
      endpoint: endpoint.id,
      tier: 1,
      atMs: nowMs,
      leavesAtMs: nowMs + 10_000,
      prefillMs: (read / TOKENS_PER_MS) * slow,
      durationMs: DURATION_MS * slow,
      begunAtMs: undefined as number | undefined,
      onEnd: () => {
        instance.monitor.end(endpoint.id, prompt.tokens);
        instance.pace.noteEnded(
          attempt,
          {isAnswered: true, outcome: 'answered', pausesMs: [], workTimeRatio: undefined},
          Math.max(nowMs, clockMs),
        );
      },
    };
    sent.push({atMs: nowMs, engine: endpoint.id});
    pendingEvents.push({
      request,
      done: atMs => {
        served.push({atMs: nowMs, engine: endpoint.id, waitMs: atMs - nowMs});
        instance.pace.noteFirstEvent(attempt, atMs);
      },
    });
    machines.get(endpoint.id)!.add(request);
  };

  let clockMs = 0;
  let credit = {long: 0, medium: 0};
  let count = 0;
  for (clockMs = 0; clockMs < ENDS_AT_MS; clockMs += TICK_MS) {
    const nowMs = clockMs;
    if (!hasStarted && nowMs >= STARTS_AT_MS) {
      hasStarted = true;
      listed = engines;
      for (const {pace} of instances) pace.noteListed(listed, context, nowMs);
    }
    for (const [id, machine] of machines) {
      machine.advance(nowMs);
      const {answered} = machine;
      if (answered === undefined || reported.get(id) === answered.atMs) continue;
      reported.set(id, answered.atMs);
      reports.push({id, atMs: answered.atMs, load: answered.load});
    }
    for (let index = 0; index < pendingEvents.length; index++) {
      const {request, done} = pendingEvents[index];
      if (request.begunAtMs === undefined) continue;
      done(request.begunAtMs);
      pendingEvents.splice(index, 1);
      index -= 1;
    }
    while (reports.length > 0 && nowMs - reports[0].atMs >= REPORT_AGE_MS) {
      const {id, load, atMs} = reports.shift()!;
      for (const {view} of instances) {
        view.addReported({endpoint: id, load, atMs}, 'remote', nowMs);
      }
    }
    credit.long += (longPerS * settled * TICK_MS) / 1000;
    credit.medium += (mediumPerS * settled * TICK_MS) / 1000;
    for (; credit.long >= 1; credit.long -= 1) {
      const prefix = Math.floor(random() * settled * PREFIXES_PER_ENGINE);
      send(makePrompt(`p${prefix}`, PREFIX_TOKENS, OWN_TOKENS), nowMs);
    }
    for (; credit.medium >= 1; credit.medium -= 1) {
      send(makePrompt(`m${(count += 1)}`, 0, PLAIN_TOKENS), nowMs);
    }
    if (hasStarted && (nowMs - STARTS_AT_MS) % 1000 === 990) {
      shares.push(instances[0].pace.find(engines[settled], nowMs));
    }
  }
  const fromMs = STARTS_AT_MS;
  const sentBySecond = Array.from({length: 7}, (_, second) =>
    sent.filter(
      ({atMs, engine}) =>
        isStarted(engine) && Math.floor((atMs - fromMs) / 1000) === second,
    ).length / started,
  );
  const early = served.filter(
    ({atMs}) => atMs >= fromMs && atMs < fromMs + 4000,
  );
  const last = sent.filter(({atMs}) => atMs >= ENDS_AT_MS - 2000);
  const ofStarted = last.filter(({engine}) => isStarted(engine)).length;
  return {
    sentBySecond,
    shares,
    waitsMs: early.filter(({engine}) => isStarted(engine)).map(({waitMs}) => waitMs).sort((a, b) => a - b),
    others: early.filter(({engine}) => !isStarted(engine)).map(({waitMs}) => waitMs).sort((a, b) => a - b),
    lastShare: ofStarted / started / ((last.length - ofStarted) / settled),
  };
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}

const PATTERNS: Record<string, LoadPattern> = {
  'one engine starts': {settled: 20, started: 1, longPerS: 1, mediumPerS: 1},
  'burst, one': {settled: 20, started: 1, longPerS: 2, mediumPerS: 2},
  'burst, ten of 40': {settled: 30, started: 10, longPerS: 2, mediumPerS: 2},
  'slow': {settled: 20, started: 1, longPerS: 1, mediumPerS: 1, startedSlowness: 2.5},
  'together slow': {settled: 20, started: 1, longPerS: 1, mediumPerS: 1, slowdown: {fromMs: 3000, factor: 2.5}},
};

for (const [name, pattern] of Object.entries(PATTERNS)) {
  test(name, t => {
    for (const isPaced of [false, true]) {
      const outs = [1, 2, 3, 4, 5, 6, 7, 8].map(seed => play({...pattern, seed}, isPaced));
      const waits = outs.flatMap(o => o.waitsMs).sort((a, b) => a - b);
      const others = outs.flatMap(o => o.others).sort((a, b) => a - b);
      t.log(isPaced, 'sent', [0,1,2,3,4,5,6].map(i => (outs.reduce((s, o) => s + o.sentBySecond[i], 0) / 8).toFixed(1)).join(' '),
        'p50', Math.round(quantile(waits, 0.5)), 'p90', Math.round(quantile(waits, 0.9)), 'p99', Math.round(quantile(waits, 0.99)), 'max', Math.round(waits.at(-1)!), 'n', waits.length, 'others p90', Math.round(quantile(others, 0.9)), 'last', (outs.reduce((s, o) => s + o.lastShare, 0) / 8).toFixed(2), 'shares', outs.map(o => o.shares.join(' ')).slice(0, 3).join(' | '));
    }
    t.pass();
  });
}
