import test from 'ava';
import {EndpointMonitor} from '@snipestage/routing/endpoint_monitor.js';
import {EndpointRateLimits} from '@snipestage/routing/endpoint_rate_limits.js';
import {LoadView} from '@snipestage/routing/load_view.js';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {LoadExchange} from './load_exchange.js';
import type {LoadReport} from './load_report.js';

const ENGINE = brandAs<EndpointId>('engine');

function makeExchange() {
  const clock = {nowMs: 1000};
  const monitor = new EndpointMonitor();
  const rateLimits = new EndpointRateLimits({
    readInstances: () => 9,
    random: () => 0,
  });
  const view = new LoadView({monitor, rateLimits, isShared: () => true});
  const metrics = new GatewayMetrics();
  const output = new CapturedLog();
  const {logger} = output;
  const nowMs = () => clock.nowMs;
  const timeline = new StoreTimeline();
  const exchange = new LoadExchange({view, metrics, logger, nowMs, timeline});
  return {
    timeline,
    clock,
    monitor,
    rateLimits,
    view,
    metrics,
    output,
    exchange,
  };
}

function noteOwn(view: LoadView, running: number, atMs: number): void {
  const load = {running, waiting: 0, capacity: 24};
  view.noteOwn({endpoint: ENGINE, load, atMs});
}

test('a load reported to one instance reaches an instance in another data centre', t => {
  // Guards against instances that know an engine's load only from answers to
  // their own requests.
  const follower = makeExchange();
  const relay = makeExchange();
  const remoteRelay = makeExchange();
  const remote = makeExchange();
  noteOwn(follower.view, 20, 900);
  relay.exchange.receive(follower.exchange.collectForRelay()!, 'local');
  remoteRelay.exchange.receive(
    relay.exchange.collectForOthers().toRelays,
    'remote',
  );
  const reports = remoteRelay.exchange.collectForOthers();
  remote.exchange.receive(reports.toFollowers, 'remote');
  t.is(remote.monitor.loadAgeMs(ENGINE, 1000), 100);
  t.true(remote.monitor.estimateLoad(ENGINE, 1000) > 15);
  t.is(reports.toRelays.lines.length, 0, 'and is not sent back');
});

test('no reading is published twice', t => {
  const {view, exchange} = makeExchange();
  noteOwn(view, 20, 900);
  t.is(exchange.collectForRelay()?.lines.length, 1);
  t.is(exchange.collectForRelay(), undefined);
});

test('malformed reports are counted, and logged at a limited rate', async t => {
  // Guards against a flood of log lines caused by one faulty process.
  const {clock, exchange, metrics, monitor, output} = makeExchange();
  const broken = {kind: 'loads', lines: ['x']} as unknown as LoadReport;
  for (let count = 0; count < 50; count += 1) exchange.receive(broken, 'local');
  clock.nowMs += 10_000;
  exchange.receive(broken, 'local');
  const page = await metrics.render();
  t.regex(page, /loads_total\{outcome="malformed"\} 51/);
  const lines = output.lines.filter(line => line.includes('loads_malformed'));
  t.is(lines.length, 2);
  t.false(monitor.hasRecentReports(clock.nowMs));
});

test('a rate limit learnt by one instance applies at others until it ends', t => {
  // Guards against an overloaded endpoint that has to announce its limit to
  // each instance.
  const [source, other] = [makeExchange(), makeExchange()];
  const load = {running: 1, waiting: 0, capacity: 24};
  const send = () =>
    other.exchange.receive(source.exchange.collectForRelay()!, 'remote');
  source.view.noteOwn({endpoint: ENGINE, load, rateLimitPerS: 1, atMs: 900});
  send();
  t.is(other.rateLimits.find(ENGINE), 1);
  source.view.noteOwn({endpoint: ENGINE, load, atMs: 950});
  send();
  t.is(other.rateLimits.find(ENGINE), undefined);
});

test('the age of a reading includes the time for which its report was under way', t => {
  // Guards against engines that look as they were before the report was delayed.
  const sender = makeExchange();
  const receiver = makeExchange();
  sender.timeline.note({storeMs: 70_001, sentAtMs: 1000, receivedAtMs: 1002});
  receiver.timeline.note({storeMs: 69_001, sentAtMs: 400, receivedAtMs: 402});
  noteOwn(sender.view, 20, 900);
  const report = sender.exchange.collectForRelay()!;
  receiver.clock.nowMs = 2000;
  receiver.exchange.receive(report, 'local');
  // Made at 1,400 by the receiver's clock, from a reading 100 ms before.
  const ageMs = receiver.monitor.loadAgeMs(ENGINE, 2000)!;
  t.true(ageMs >= 700 && ageMs < 710, `${ageMs}`);
});
