import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {DemandMeter} from './demand_meter.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {EndpointRateLimits} from './endpoint_rate_limits.js';
import {LeastLoadedPlacement} from './least_loaded_placement.js';
import {LoadControls} from './load_controls.js';
import type {AttemptEnd, ObservedAttempt} from './load_correction.js';
import type {PlacementRequest} from './placement.js';
import type {Prompt} from './prompt.js';
import {
  PromptPlacement,
  type PromptPlacementOptions,
} from './prompt_placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {StartPace, type ListedContext, type PaceChange} from './start_pace.js';
import {
  AKL_A,
  makeEndpoint,
  makePrompt,
  QUOTE,
} from './test_support/fixtures.js';
import {WarmupGate} from './warmup_gate.js';

const SETTLED = Array.from({length: 8}, (_, index) =>
  makeEndpoint(`settled-${index}`),
);
const STARTED = makeEndpoint('started');
const STARTS_AT_MS = 10_000;
const UNDISTURBED: ListedContext = {
  restarted: [],
  disturbedSinceMs: undefined,
};
const ANSWERED: AttemptEnd = {
  isAnswered: true,
  outcome: 'answered',
  pausesMs: [],
  workTimeRatio: undefined,
};

/** The slow start of one service, with its inputs and the changes that it reports. */
class Fixture {
  readonly monitor = new EndpointMonitor();
  readonly changes: PaceChange[] = [];
  readonly warmup = new WarmupGate({
    limitOf: () => ({durationMs: 3000, requestsPerS: 7}),
    readInstances: () => 60,
  });
  readonly rateLimits = new EndpointRateLimits({readInstances: () => 60});
  listed: readonly ServingEndpoint[] = [];
  readonly pace: StartPace;

  constructor(isOn = true) {
    this.pace = new StartPace({
      monitor: this.monitor,
      isOn: () => isOn,
      findServing: () => this.listed,
      warmup: this.warmup,
      rateLimits: this.rateLimits,
      onChange: change => this.changes.push(change),
    });
  }

  list(
    listed: readonly ServingEndpoint[],
    nowMs: number,
    context = UNDISTURBED,
  ) {
    this.listed = listed;
    this.pace.noteListed(listed, context, nowMs);
  }

  /** Lists the settled endpoints first, then the one that starts too. */
  start(): this {
    this.list(SETTLED, 0);
    this.list([...SETTLED, STARTED], STARTS_AT_MS);
    return this;
  }

  report({id}: ServingEndpoint, atMs: number, running = 4, waiting = 0): void {
    const load = {running, waiting, capacity: 64};
    this.monitor.noteReportedLoad(id, load, atMs);
    this.pace.noteReported({endpoint: id, load, atMs}, atMs);
  }

  /** An attempt with its first event, or undefined if there is none yet. */
  answer(endpoint: ServingEndpoint, sentAtMs: number, waitMs: number): void {
    const attempt = this.send(endpoint, sentAtMs);
    this.pace.noteFirstEvent(attempt, sentAtMs + waitMs);
    this.pace.noteEnded(attempt, ANSWERED, sentAtMs + waitMs);
  }

  send(endpoint: ServingEndpoint, sentAtMs: number, prompt?: Prompt) {
    const attempt: ObservedAttempt = {
      endpoint,
      route: QUOTE,
      prompt: prompt ?? makePrompt('shared', 13_300, 3720),
      sentAtMs,
    };
    this.pace.noteSent(attempt);
    return attempt;
  }

  /** First events of the settled endpoints. */
  answerSettled(sentAtMs: number, waitMs: number): void {
    for (const each of SETTLED) this.answer(each, sentAtMs, waitMs);
  }

  shareAt(afterMs: number, endpoint = STARTED): number {
    return this.pace.shareOf(endpoint, STARTS_AT_MS + afterMs);
  }
}

function requestAt(nowMs: number, prompt?: Prompt): PlacementRequest {
  return {
    route: QUOTE,
    prompt,
    dataCentre: AKL_A,
    excluded: new Set(),
    avoided: new Set(),
    nowMs,
  };
}

test('without any observation the share is full after four seconds', t => {
  // Guards against an instance without relays that holds an endpoint back.
  const fixture = new Fixture().start();
  t.is(fixture.shareAt(0), 1 / 4);
  t.is(fixture.shareAt(2100), 1 / 2);
  t.is(fixture.shareAt(4000), 1);
  t.deepEqual(
    fixture.changes.map(({kind, cause}) => [kind, cause]),
    [
      ['begun', 'new'],
      ['ended', 'new'],
    ],
  );
});

test('reported loads double the share sooner', t => {
  // Guards against waiting for own answers: an instance sees one in ten seconds.
  const fixture = new Fixture().start();
  for (const atMs of [800, 1600]) {
    for (const each of SETTLED) fixture.report(each, STARTS_AT_MS + atMs);
    fixture.report(STARTED, STARTS_AT_MS + atMs, 1);
    fixture.shareAt(atMs);
  }
  t.is(fixture.shareAt(1700), 1);
});

test('instances that know the same loads reach the same share', t => {
  // Guards against shares that add up to far more or less than is meant.
  const shares = [0, 40].map(offsetMs => {
    const fixture = new Fixture().start();
    for (const each of SETTLED) fixture.report(each, STARTS_AT_MS + 900);
    fixture.report(STARTED, STARTS_AT_MS + 900, 1);
    return fixture.shareAt(1500 + offsetMs);
  });
  t.deepEqual(shares, [1 / 2, 1 / 2]);
});

test('a waiting request halves the share at once, unless most peers have some', t => {
  // Guards against an engine that is sent more while its queue grows, and
  // against holding it back for a burst that all engines feel.
  const fixture = new Fixture().start();
  for (const each of SETTLED) fixture.report(each, STARTS_AT_MS + 500);
  fixture.report(STARTED, STARTS_AT_MS + 500, 1, 3);
  t.is(fixture.shareAt(600), 1 / 8);
  const busy = new Fixture().start();
  for (const each of SETTLED) busy.report(each, STARTS_AT_MS + 500, 9, 3);
  busy.report(STARTED, STARTS_AT_MS + 500, 9, 3);
  t.is(busy.shareAt(600), 1 / 4);
});

test('a first event that is late compared with the peers halves the share', t => {
  // Guards against judging by absolute times, and against taking the tokens
  // that an empty cache costs for slowness.
  const fixture = new Fixture().start();
  fixture.answerSettled(STARTS_AT_MS, 60);
  fixture.answer(STARTED, STARTS_AT_MS + 100, 300);
  t.is(fixture.shareAt(500), 1 / 4);
  fixture.answer(STARTED, STARTS_AT_MS + 100, 1500);
  t.is(fixture.shareAt(1600), 1 / 8);
  const slow = new Fixture().start();
  slow.answerSettled(STARTS_AT_MS, 300);
  slow.answer(STARTED, STARTS_AT_MS + 100, 1500);
  t.is(slow.shareAt(1650), 1 / 2);
});

test('a request without a first event counts as late while it waits', t => {
  // Guards against waiting for an answer of an engine that stands still.
  const fixture = new Fixture().start();
  fixture.answerSettled(STARTS_AT_MS, 60);
  fixture.send(STARTED, STARTS_AT_MS + 100);
  t.is(fixture.shareAt(300), 1 / 4);
  t.is(fixture.shareAt(1500), 1 / 8);
});

test('longer pauses than those of the peers halve the share', t => {
  const fixture = new Fixture().start();
  const noteStream = (endpoint: ServingEndpoint, pausesMs: number[]) => {
    const attempt = fixture.send(endpoint, STARTS_AT_MS + 100);
    const end = {...ANSWERED, pausesMs};
    fixture.pace.noteEnded(attempt, end, STARTS_AT_MS + 900);
  };
  for (const each of SETTLED) noteStream(each, [20, 25, 20]);
  noteStream(STARTED, [120, 90, 150]);
  t.is(fixture.shareAt(950), 1 / 8);
});

test('a failed first attempt does not exclude an endpoint', t => {
  // Guards against a ban by the first error, with which many programs start.
  const fixture = new Fixture().start();
  const attempt = fixture.send(STARTED, STARTS_AT_MS + 100);
  const end: AttemptEnd = {...ANSWERED, isAnswered: false, outcome: 'failed'};
  fixture.pace.noteEnded(attempt, end, STARTS_AT_MS + 150);
  t.is(fixture.shareAt(200), 1 / 8);
  t.is(fixture.shareAt(2200), 1 / 4);
  t.is(fixture.changes.at(-1)?.kind, 'halved');
});

test('the ramp of an endpoint that stays slow ends', t => {
  // Guards against holding back an endpoint for good for what its rate shows.
  const fixture = new Fixture().start();
  for (let afterMs = 0; afterMs < 12_000; afterMs += 250) {
    for (const each of SETTLED) fixture.report(each, STARTS_AT_MS + afterMs);
    fixture.report(STARTED, STARTS_AT_MS + afterMs, 1, 2);
    t.true(fixture.shareAt(afterMs) >= 1 / 16);
  }
  t.is(fixture.shareAt(12_000), 1);
});

test('endpoints that are known when the instance starts are not new', t => {
  // Guards against an instance that takes all endpoints for new as it starts.
  const fixture = new Fixture();
  fixture.list(SETTLED, 0);
  for (const each of SETTLED) t.is(fixture.pace.shareOf(each, 0), 1);
});

test('after the list was cut off for long, no endpoint is new', t => {
  // Guards against an instance that holds back a fleet which was replaced while
  // it could not read the list; after a short cut the ramp is shorter.
  const fixture = new Fixture();
  fixture.list(SETTLED, 0);
  const fleet = [...SETTLED, STARTED];
  const context = {restarted: [SETTLED[0].id], disturbedSinceMs: 3000};
  fixture.list(fleet, STARTS_AT_MS, context);
  t.is(fixture.shareAt(0), 1);
  t.is(fixture.shareAt(0, SETTLED[0]), 1);
  const short = new Fixture();
  short.list(SETTLED, 0);
  const since = {restarted: [], disturbedSinceMs: STARTS_AT_MS - 2500};
  short.list(fleet, STARTS_AT_MS, since);
  t.is(short.shareAt(0), 1 / 2);
  t.is(short.shareAt(1500), 1);
});

test('an endpoint that restarts under its id begins anew', t => {
  const fixture = new Fixture();
  fixture.list(SETTLED, 0);
  const [restarted] = SETTLED;
  fixture.pace.forget(restarted.id);
  const context = {...UNDISTURBED, restarted: [restarted.id]};
  fixture.list(SETTLED, STARTS_AT_MS, context);
  t.is(fixture.shareAt(0, restarted), 1 / 4);
  t.is(fixture.shareAt(0, SETTLED[1]), 1);
});

test('when all endpoints are new no limit applies', t => {
  // Guards against refusing or delaying what nobody else could take.
  const fixture = new Fixture();
  fixture.list([SETTLED[0]], 0);
  fixture.list(SETTLED.slice(1), STARTS_AT_MS);
  for (const each of SETTLED.slice(1)) t.is(fixture.shareAt(0, each), 1);
});

test('few settled endpoints are not made to bear the load of many new ones', t => {
  // Guards against the opposite flood: two engines with the load of eight.
  const fixture = new Fixture();
  fixture.list(SETTLED.slice(0, 2), 0);
  fixture.list(SETTLED, STARTS_AT_MS);
  const share = fixture.shareAt(0, SETTLED[5]);
  t.true(share > 0.5 && share < 0.6, `${share}`);
});

test('a growing part of the prefixes goes to their new primary engine', t => {
  // Guards against all prefixes moving to an empty cache at once, and against
  // instances that move different ones.
  const fixture = new Fixture().start();
  const moved = (afterMs: number) =>
    Array.from({length: 400}, (_, index) => index).filter(index => {
      const prompt = makePrompt(`prefix-${index}`, 13_300, 3720);
      const request = requestAt(STARTS_AT_MS + afterMs, prompt);
      return fixture.pace.hasRoomFor(STARTED, request);
    });
  const first = moved(0);
  const later = moved(2100);
  t.true(first.length > 70 && first.length < 130, `${first.length}`);
  t.true(later.length > 160 && later.length < 240, `${later.length}`);
  t.true(first.every(index => later.includes(index)));
  for (const each of SETTLED) fixture.report(each, STARTS_AT_MS + 2100, 64, 5);
  t.is(moved(2100).length, 400);
});

test('an announced warm-up and a rate limit go first', t => {
  // Guards against two limits at once: the endpoint has said what it bears.
  const cold = new Fixture().start();
  cold.warmup.noteWarmup(STARTED.id, 3000, STARTS_AT_MS);
  t.is(cold.shareAt(100), 1);
  t.is(cold.shareAt(3100), 1 / 2);
  const limited = new Fixture().start();
  limited.rateLimits.note(STARTED.id, 5, STARTS_AT_MS);
  t.is(limited.shareAt(100), 1);
});

test('an endpoint that answers again after an outage has recovered', t => {
  // Guards against a flood of an engine that all instances see idle after an
  // outage. What one instance could not reach, but others could, was not idle.
  const fixture = new Fixture();
  fixture.list(SETTLED, 0);
  const [down, ...peers] = SETTLED;
  const reportAll = (endpoints: readonly ServingEndpoint[], atMs: number) => {
    for (const each of endpoints) fixture.report(each, atMs);
  };
  for (let atMs = 0; atMs < 5000; atMs += 500) reportAll(SETTLED, atMs);
  for (let atMs = 5000; atMs <= 10_000; atMs += 500) reportAll(peers, atMs);
  // The first requests are sent before anybody knows that it answers again.
  t.is(fixture.shareAt(-3000, down), 1);
  t.is(fixture.shareAt(0, down), 1 / 4);
  t.deepEqual(fixture.changes, []);
  fixture.report(down, 10_000);
  t.is(fixture.shareAt(0, down), 1 / 4);
  t.deepEqual(
    fixture.changes.map(({cause}) => cause),
    ['recovered'],
  );
});

test('after a pause of the instance itself no endpoint has recovered', t => {
  // Guards against taking the silence of an instance that stood still, or that
  // lost its relay, for that of all endpoints.
  const fixture = new Fixture();
  fixture.list(SETTLED, 0);
  for (const atMs of [0, 500, 1000, 9000, 9500, 10_000]) {
    for (const each of SETTLED) fixture.report(each, atMs);
  }
  t.deepEqual(fixture.changes, []);
});

test("another instance's answer ends the pause after a failure to connect once", t => {
  // Guards against an endpoint that is left idle: the pauses of all instances
  // double apart from each other. An own link that is cut stays paused.
  const fixture = new Fixture();
  fixture.list(SETTLED, 0);
  const [{id}] = SETTLED;
  fixture.monitor.note(id, 'unreachable', 1000);
  fixture.monitor.note(id, 'unreachable', 1300);
  fixture.report(SETTLED[0], 1200);
  t.true(fixture.monitor.isDown(id, 1400));
  fixture.report(SETTLED[0], 1390);
  t.false(fixture.monitor.isDown(id, 1400));
  fixture.monitor.note(id, 'unreachable', 1400);
  fixture.report(SETTLED[0], 1500);
  t.true(fixture.monitor.isDown(id, 1600));
});

/** Engines of 300 long and medium prompts, of a seeded choice. */
function choosePrompts(
  fixture: Fixture,
  changes: Partial<PromptPlacementOptions>,
): readonly (EndpointId | undefined)[] {
  const demand = new DemandMeter();
  for (let atMs = 0; atMs < STARTS_AT_MS; atMs += 20) {
    demand.count(STARTED.service, QUOTE, makePrompt('d', 13_300, 3720), atMs);
  }
  const placement = new PromptPlacement({
    monitor: fixture.monitor,
    reach: new DataCentreReach(),
    demand,
    recent: demand,
    random: createSeededRandom(3),
    ...changes,
  });
  return Array.from({length: 300}, (_, index) => {
    const shared = index % 2 === 0 ? 13_300 : 0;
    const prompt = makePrompt(`prompt-${index}`, shared, 3720);
    const request = requestAt(STARTS_AT_MS + 10, prompt);
    return placement.choose(fixture.listed, request)?.endpoint.id;
  });
}

for (const hasReports of [true, false]) {
  const loads = hasReports ? 'with loads of others' : 'with own loads only';
  test(`prompts are placed as before without controls, ${loads}`, t => {
    // Guards against a share that reaches deployments without load controls.
    const fixture = new Fixture().start();
    for (const each of hasReports ? SETTLED : []) {
      fixture.report(each, STARTS_AT_MS - 500);
    }
    const {pace: correction} = fixture;
    const before = choosePrompts(fixture, {});
    const off = {correction, controls: new LoadControls()};
    t.deepEqual(choosePrompts(fixture, off), before);
    const on = {
      correction,
      controls: new LoadControls({isCapacityScarce: true}),
    };
    const countOf = (chosen: readonly (EndpointId | undefined)[]) =>
      chosen.filter(id => id === STARTED.id).length;
    t.true(countOf(choosePrompts(fixture, on)) < countOf(before) / 2);
  });
}

/** Counts requests of a plain service at the endpoint that starts. */
function countPlain(fixture: Fixture, controls: LoadControls): number {
  const placement = new LeastLoadedPlacement({
    monitor: fixture.monitor,
    reach: new DataCentreReach(),
    controls,
    correction: fixture.pace,
    random: createSeededRandom(5),
  });
  const chosen = Array.from(
    {length: 900},
    () =>
      placement.choose(fixture.listed, requestAt(STARTS_AT_MS + 10))?.endpoint
        .id,
  );
  return chosen.filter(id => id === STARTED.id).length;
}

test('plain services: a new endpoint gets its share, and all of it without controls', t => {
  // Guards against corrections in a deployment that didn't ask for them, and
  // against endpoints that get nothing because their cost is never the least.
  const scarce = new LoadControls({isCapacityScarce: true});
  const paced = countPlain(new Fixture().start(), scarce);
  t.true(paced > 15 && paced < 40, `${paced}`);
  const before = countPlain(new Fixture().start(), new LoadControls());
  t.true(before > 80 && before < 120, `${before}`);
  t.is(countPlain(new Fixture(false).start(), scarce), before);
});

test('plain services: a new endpoint takes what others let wait', t => {
  // Guards against an idle endpoint beside queues.
  const fixture = new Fixture().start();
  for (const {id} of SETTLED) {
    const load = {running: 64, waiting: 3, capacity: 64};
    fixture.monitor.noteLoad(id, load, STARTS_AT_MS);
  }
  const scarce = new LoadControls({isCapacityScarce: true});
  t.is(countPlain(fixture, scarce), 900);
});

test('endpoints that are gone are forgotten', t => {
  const fixture = new Fixture().start();
  fixture.pace.retain(new Set<EndpointId>([brandAs('settled-0')]));
  t.is(fixture.pace.find(STARTED, STARTS_AT_MS), undefined);
});
