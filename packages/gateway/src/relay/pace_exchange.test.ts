import test from 'ava';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {RouteTable} from '@snipestage/routing/route_table.js';
import {
  makeConfiguration,
  makeEndpoint,
  makePrompt,
  makeRoute,
  REPAIR,
} from '@snipestage/routing/test_support/fixtures.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {recordAnnouncements} from '../record_announcements.js';
import {RoutingState} from '../routing_state.js';
import {CapturedLog} from '../test_support/captured_log.js';
import type {ExchangeContext, ReadRequest} from '../exchange_context.js';
import type {AnswerHead} from '../pass_through_protocol.js';
import {LoadExchange} from './load_exchange.js';
import type {LoadReport} from './load_report.js';

const ENGINE = makeEndpoint('engine');
const OTHERS = ['one', 'two'].map(id => makeEndpoint(id));
const NOW_MS = 5000;

/** The state of an instance and its exchange with relays. */
function makeInstance() {
  const state = new RoutingState({ratio: 1, windowMs: 10_000, slack: 50});
  state.table = new RouteTable(
    makeConfiguration({
      services: [
        {
          id: REPAIR,
          engine: {batchSize: 128, cacheTokens: 634_945},
          scaling: undefined,
        },
      ],
    }),
  );
  state.directory.replace([ENGINE, ...OTHERS], 1);
  const metrics = new GatewayMetrics();
  const output = new CapturedLog();
  const exchange = new LoadExchange({
    view: state.loads,
    paces: state.paces,
    metrics,
    logger: output.logger,
    nowMs: () => NOW_MS,
    timeline: new StoreTimeline(),
  });
  return {state, metrics, output, exchange};
}

type Instance = ReturnType<typeof makeInstance>;

/** Three engines of which one is slow, in streams of this instance. */
function observe({state}: Instance, atMs: number): void {
  for (const endpoint of [ENGINE, ...OTHERS]) {
    const pauseMs = (endpoint === ENGINE ? 34 : 14) + atMs / 1e4;
    const pausesMs = Array.from({length: 9}, () => pauseMs);
    state.correction.noteEnded(
      {
        endpoint,
        route: makeRoute(),
        prompt: makePrompt('p', 100, 100),
        sentAtMs: atMs - 200,
      },
      {
        isAnswered: true,
        outcome: 'answered',
        pausesMs,
        workTimeRatio: undefined,
      },
      atMs,
    );
  }
}

function overTheWire(report: LoadReport | undefined): LoadReport {
  return JSON.parse(JSON.stringify(report)) as LoadReport;
}

test('an instance that has just started learns speeds and controls from others', t => {
  // Guards against instances that place by count for minutes after a start.
  const [follower, relay, remoteRelay, started] = Array.from(
    {length: 4},
    makeInstance,
  );
  for (const atMs of [4000, 4400, 4800]) {
    observe(follower, atMs);
    const own = overTheWire(follower.exchange.collectForRelay());
    relay.exchange.receive(own, 'local');
    const {toRelays, toFollowers} = relay.exchange.collectForOthers();
    follower.exchange.receive(overTheWire(toFollowers), 'remote');
    remoteRelay.exchange.receive(overTheWire(toRelays), 'remote');
    const reports = remoteRelay.exchange.collectForOthers();
    t.is(reports.toRelays.paces, undefined, 'not sent back');
    started.exchange.receive(overTheWire(reports.toFollowers), 'remote');
  }
  t.true(started.state.controls.isOn(REPAIR));
  t.true(started.state.rates.slownessOf(ENGINE, NOW_MS) > 2);
  t.like(started.state.describeEndpoints(NOW_MS)[0], {isSlow: true});
});

test('a sample that comes back to its instance does not count again', async t => {
  const [follower, relay] = Array.from({length: 2}, makeInstance);
  observe(follower, 4500);
  relay.exchange.receive(
    overTheWire(follower.exchange.collectForRelay()),
    'local',
  );
  const {toFollowers} = relay.exchange.collectForOthers();
  follower.exchange.receive(overTheWire(toFollowers), 'remote');
  const page = await follower.metrics.render();
  t.regex(page, /paces_total\{outcome="duplicate"\} 3/);
  t.is(follower.exchange.collectForRelay(), undefined);
});

test('malformed paces switch nothing on and are counted', async t => {
  // Guards against a faulty process that switches the controls of others on.
  const {exchange, state, metrics, output} = makeInstance();
  const paces = [['engine', -3, 5], 'x'];
  const report = {kind: 'loads', lines: [['engine', 1, 0, 64, 5]], paces};
  exchange.receive(report as unknown as LoadReport, 'local');
  t.false(state.controls.isOn(REPAIR));
  t.is(state.monitor.loadAgeMs(ENGINE.id, NOW_MS), 5, 'its loads are valid');
  t.regex(await metrics.render(), /paces_total\{outcome="malformed"\} 2/);
  t.is(output.lines.filter(line => line.includes('paces_malformed')).length, 1);
});

test('an instance of an older version exchanges loads as before', t => {
  // Guards against a rolling update in which older relays reject reports.
  const {exchange, state} = makeInstance();
  exchange.receive({kind: 'loads', lines: [['engine', 9, 0, 64, 5]]}, 'local');
  t.is(state.monitor.loadAgeMs(ENGINE.id, NOW_MS), 5);
  t.false(state.controls.isOn(REPAIR));
  const {toFollowers} = exchange.collectForOthers();
  t.deepEqual(Object.keys(overTheWire(toFollowers)), ['kind', 'lines']);
});

test('an endpoint that restarts begins at the usual speed', t => {
  const instance = makeInstance();
  const {state, exchange} = instance;
  observe(instance, 4500);
  state.directory.replace([{...ENGINE, bornEpochMs: 2}, ...OTHERS], 2);
  state.evictStale(4600);
  t.is(state.rates.slownessOf(ENGINE, 4600), 1);
  const paces = [['engine', 34, 450] as const];
  exchange.receive({kind: 'loads', lines: [], paces}, 'remote');
  t.is(state.rates.slownessOf(ENGINE, NOW_MS), 1, 'a sample of before');
});

function answer({state, metrics, output}: Instance, head: Partial<AnswerHead>) {
  const context = {
    state,
    metrics,
    logger: output.logger,
    nowMs: () => NOW_MS,
  } as unknown as ExchangeContext;
  const request = {caller: {requestId: 'one'}} as unknown as ReadRequest;
  const full = {requestId: 'one', isSigned: true, ...head} as AnswerHead;
  recordAnnouncements(context, {head: full, request, endpoint: ENGINE});
}

test('a valid work time switches the controls of its service on', t => {
  const instance = makeInstance();
  const load = {running: 1, waiting: 0, capacity: 64};
  answer(instance, {load});
  t.false(instance.state.controls.isOn(REPAIR));
  answer(instance, {load: {...load, workTimeRatio: 2.5}});
  t.true(instance.state.controls.isOn(REPAIR));
});

test('an invalid work time is counted, logged once, and switches nothing on', async t => {
  // Guards against a log that fills up because of one faulty endpoint.
  const instance = makeInstance();
  const load = {running: 1, waiting: 0, capacity: 64};
  for (let count = 0; count < 5; count += 1)
    answer(instance, {load, hasInvalidWorkTime: true});
  t.false(instance.state.controls.isOn(REPAIR));
  const {metrics, output} = instance;
  t.regex(await metrics.render(), /work_times_total\{service="repair"\} 5/);
  const lines = output.lines.filter(line => line.includes('work_time_invalid'));
  t.is(lines.length, 1);
});
