import test from 'ava';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {EndpointRateLimits} from './endpoint_rate_limits.js';
import {LoadView, type LoadReading} from './load_view.js';

const ENGINE = brandAs<EndpointId>('engine');
const GONE = brandAs<EndpointId>('gone');

function reading(
  running: number,
  atMs: number,
  endpoint = ENGINE,
): LoadReading {
  return {endpoint, load: {running, waiting: 0, capacity: 24}, atMs};
}

function makeView() {
  const monitor = new EndpointMonitor();
  const known = new Set([ENGINE]);
  const view = new LoadView({monitor, isShared: id => known.has(id)});
  return {monitor, view, known};
}

test('an instance knows the load of an engine to which it sent nothing', t => {
  // Guards against urgent requests at full engines beside idle ones.
  const {monitor, view} = makeView();
  t.is(view.addReported(reading(20, 1000), 'remote', 1000), undefined);
  t.is(monitor.estimateLoad(ENGINE, 1000), 20);
  t.is(monitor.loadAgeMs(ENGINE, 1400), 400);
  t.true(monitor.hasRecentReports(1400));
});

test('the newest reading is kept, whichever instance it comes from', t => {
  // Guards against reports that overtake each other on their way.
  const {monitor, view} = makeView();
  view.addReported(reading(3, 900), 'local', 1000);
  t.is(view.addReported(reading(20, 800), 'remote', 1000), 'older');
  view.noteOwn(reading(5, 950));
  t.is(view.addReported(reading(7, 940), 'remote', 1000), 'older');
  t.is(monitor.estimateLoad(ENGINE, 950), 5);
});

test('readings that are old, from the future or of unknown engines are dropped', t => {
  // Guards against invalid readings of other processes.
  const {monitor, view} = makeView();
  t.is(view.addReported(reading(20, 2000), 'remote', 6000), 'too_old');
  t.is(view.addReported(reading(20, 7000), 'remote', 6000), 'from_the_future');
  t.is(view.addReported(reading(20, 6000, GONE), 'remote', 6000), 'not_shared');
  t.is(monitor.estimateLoad(ENGINE, 6000), 0);
  t.is(monitor.estimateLoad(GONE, 6000), 0);
});

test('without reports an instance relies on its own answers again', t => {
  // Guards against choosing by the stale report of a relay that is gone.
  const {monitor, view} = makeView();
  view.addReported(reading(20, 0), 'remote', 0);
  t.false(monitor.hasRecentReports(3001));
  t.true(monitor.estimateLoad(ENGINE, 9000) < 0.5);
});

test('a load shared by others decays more slowly than an own one', t => {
  // Guards against full engines that look half empty a second later.
  const {monitor, view} = makeView();
  view.addReported(reading(20, 0), 'remote', 0);
  t.true(monitor.estimateLoad(ENGINE, 1500) > 15);
  const own = makeView();
  own.view.noteOwn(reading(20, 0));
  t.true(own.monitor.estimateLoad(ENGINE, 1500) < 11);
});

test('requests sent after a shared load count in addition to it', t => {
  // Guards against a second request to an engine because the first isn't
  // counted.
  const {monitor, view} = makeView();
  monitor.begin(ENGINE, 1, 500);
  view.addReported(reading(4, 400), 'remote', 600);
  t.true(monitor.estimateLoad(ENGINE, 400) > 4.9);
});

test('each reading is passed on once, to those that do not have it', t => {
  // Guards against relays of two data centres that echo each other's readings.
  const {view, known} = makeView();
  view.addReported(reading(4, 900), 'remote', 1000);
  t.is(view.changesSince(0, ['own', 'local'], 1000).readings.length, 0);
  const {readings, mark} = view.changesSince(
    0,
    ['own', 'local', 'remote'],
    1000,
  );
  t.is(readings.length, 1);
  t.is(view.changesSince(mark, ['remote'], 1000).readings.length, 0);
  known.delete(ENGINE);
  view.prune();
  t.is(view.changesSince(0, ['remote'], 1000).readings.length, 0);
});

test('a silent endpoint lets requests wait, at all instances, until it answers', t => {
  // Guards against requests that all instances go on sending to an endpoint
  // which begins none: its last answer shows it nearly idle.
  const {monitor, view} = makeView();
  const other = makeView();
  const silences: string[] = [];
  view.watchSilences(() => silences.push('silent'));
  view.noteOwn(reading(3, 1000));
  other.view.addReported(reading(3, 1000), 'remote', 1000);
  t.true(view.noteSilent({id: ENGINE, capacity: 24}, 1500));
  const {readings} = view.changesSince(0, ['own'], 1500);
  other.view.addReported(readings[0], 'remote', 1520);
  t.deepEqual(silences, ['silent']);
  t.is(monitor.estimateWaiting(ENGINE, 1500), 1);
  t.is(monitor.estimateLoad(ENGINE, 1500), 4);
  t.true(other.monitor.estimateWaiting(ENGINE, 1520) > 0.99);
  other.view.noteOwn(reading(4, 1600));
  t.is(other.monitor.estimateWaiting(ENGINE, 1600), 0);
});

test('the silence of a plain service isn’t recorded as a load', t => {
  const {view} = makeView();
  t.false(view.noteSilent({id: GONE, capacity: 6}, 1500));
});

test('a silent endpoint keeps its rate limit at other instances', t => {
  // Guards against a limit that ends since an endpoint answers too late.
  const limits = new EndpointRateLimits({readInstances: () => 1});
  const monitor = new EndpointMonitor();
  const view = new LoadView({
    monitor,
    rateLimits: limits,
    isShared: () => true,
  });
  limits.note(ENGINE, 2, 1000);
  view.noteSilent({id: ENGINE, capacity: 24}, 1500);
  const {readings} = view.changesSince(0, ['own'], 1500);
  t.is(readings[0].rateLimitPerS, 2);
});
