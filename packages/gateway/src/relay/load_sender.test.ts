import test from 'ava';
import {EndpointMonitor} from '@snipestage/routing/endpoint_monitor.js';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {LoadView} from '@snipestage/routing/load_view.js';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {LoadExchange} from './load_exchange.js';
import type {LoadReport} from './load_report.js';
import {LoadSender} from './load_sender.js';

const ENGINE = {id: brandAs<EndpointId>('engine'), capacity: 64};
const NOW_MS = 1000;

type Role = 'relay' | 'follower';

function makeInstance(role: Role) {
  const monitor = new EndpointMonitor();
  const view = new LoadView({monitor, isShared: () => true});
  const {logger} = new CapturedLog();
  const exchange = new LoadExchange({
    view,
    metrics: new GatewayMetrics(),
    logger,
    nowMs: () => NOW_MS,
    timeline: new StoreTimeline(),
  });
  const toRelay: LoadReport[] = [];
  const toFollowers: LoadReport[] = [];
  const toRelays: LoadReport[] = [];
  const due: (() => void)[] = [];
  const delays: number[] = [];
  const sender = new LoadSender({
    exchange,
    host: {
      isServing: role === 'relay',
      sendLoads: loads => {
        toFollowers.push(loads.toFollowers);
        if (loads.toRelays !== undefined) toRelays.push(loads.toRelays);
      },
    },
    follower: {
      isFollowing: role === 'follower',
      sendLoads: report => toRelay.push(report),
    },
    nowMs: () => NOW_MS,
    later: (callback, delayMs) => {
      due.push(callback);
      delays.push(delayMs);
    },
  });
  view.watchSilences(() => sender.sendSoon());
  return {monitor, view, sender, toRelay, toFollowers, toRelays, due, delays};
}

test('a silent endpoint is known in another data centre at once', t => {
  // Guards against half a second at each hop in which all instances send
  // further requests to an endpoint that begins none.
  const [source, other] = [makeInstance('follower'), makeInstance('follower')];
  const [relay, remote] = [makeInstance('relay'), makeInstance('relay')];
  source.view.noteSilent(ENGINE, NOW_MS);
  source.due[0]();
  relay.sender.receive(source.toRelay[0], 'local');
  relay.due[0]();
  remote.sender.receive(relay.toRelays[0], 'remote');
  remote.due[0]();
  const delayMs = [source, relay, remote].flatMap(({delays}) => delays);
  t.deepEqual(delayMs, [0, 0, 0]);
  other.sender.receive(remote.toFollowers[0], 'remote');
  t.is(other.monitor.estimateWaiting(ENGINE.id, NOW_MS), 1);
});

test('relays do not send an urgent reading back to each other', t => {
  // Guards against two relays that answer each other's reports for ever.
  const [relay, remote] = [makeInstance('relay'), makeInstance('relay')];
  relay.view.noteSilent(ENGINE, NOW_MS);
  relay.due[0]();
  remote.sender.receive(relay.toRelays[0], 'remote');
  remote.due[0]();
  t.is(remote.toRelays.length, 0);
  t.is(remote.toFollowers.length, 1);
});

test('load pattern: a hundred followers report silent engines within a moment', t => {
  // Guards against a relay that sends each of them to all of its followers, over
  // a link of a few Mbit/s.
  const relay = makeInstance('relay');
  relay.view.noteSilent(ENGINE, NOW_MS);
  relay.due[0]();
  for (let count = 0; count < 100; count += 1) {
    const follower = makeInstance('follower');
    const id = brandAs<EndpointId>(`engine-${count % 40}`);
    follower.view.noteSilent({...ENGINE, id}, NOW_MS);
    follower.due[0]();
    relay.sender.receive(follower.toRelay[0], 'local');
  }
  t.deepEqual(relay.delays, [0, 100]);
  relay.due[1]();
  t.is(relay.toFollowers.length, 2);
  t.is(relay.toFollowers[1].lines.length, 40);
});

test('a local silence is not held back by one of another relay', t => {
  const [relay, remote] = [makeInstance('relay'), makeInstance('relay')];
  remote.view.noteSilent(ENGINE, NOW_MS);
  remote.due[0]();
  relay.sender.receive(remote.toRelays[0], 'remote');
  const id = brandAs<EndpointId>('other');
  relay.view.noteSilent({...ENGINE, id}, NOW_MS);
  t.is(relay.due.length, 1);
  relay.due[0]();
  t.is(relay.toRelays[0].isUrgent, true);
  t.deepEqual(
    relay.toRelays[0].lines.map(([engine]) => engine),
    ['other'],
  );
});

test('many silences within a moment go out in one report', t => {
  // Guards against a report for each request while all engines are full.
  const source = makeInstance('follower');
  for (let count = 0; count < 20; count += 1) {
    const id = brandAs<EndpointId>(`engine-${count}`);
    source.view.noteSilent({...ENGINE, id}, NOW_MS);
  }
  t.is(source.due.length, 1);
  source.due[0]();
  t.is(source.toRelay[0].lines.length, 20);
});

test('regular readings are not passed on at once', t => {
  const [source, relay] = [makeInstance('follower'), makeInstance('relay')];
  const load = {running: 3, waiting: 0, capacity: 64};
  source.view.noteOwn({endpoint: ENGINE.id, load, atMs: NOW_MS});
  source.sender.send();
  relay.sender.receive(source.toRelay[0], 'local');
  t.is(relay.due.length, 0);
  t.is(relay.toFollowers.length, 0);
});
