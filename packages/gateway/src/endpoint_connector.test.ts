import test from 'ava';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {ConnectTimeout} from '@snipestage/routing/connect_timeout.js';
import {DirectConnector} from './direct_connector.js';
import {EndpointConnector} from './endpoint_connector.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {RoutingState} from './routing_state.js';
import {CapturedLog} from './test_support/captured_log.js';

const ENDPOINTS = ['a', 'b', 'c'].map(name => ({
  id: brandAs<EndpointId>(name),
  service: brandAs<ServiceId>('s'),
  address: brandAs<EndpointAddress>('127.0.0.1:1'),
  dataCentre: brandAs<DataCentreId>('akl-a'),
  capacity: 1,
  isLeaving: false,
  isCheap: false,
  bornEpochMs: 1,
}));

test('an isolated instance that knows no other reads their list again', async t => {
  // Guards against refusing all callers until the next regular read, after an
  // instance lost its links before the others had published their addresses.
  const state = new RoutingState({ratio: 1, windowMs: 10_000, slack: 50});
  state.directory.replace(ENDPOINTS, 0);
  let refreshes = 0;
  const connector = new EndpointConnector({
    state,
    direct: new DirectConnector({
      state,
      connectTimeout: new ConnectTimeout(),
      metrics: new GatewayMetrics(),
      logger: new CapturedLog().logger,
      nowMs: () => 0,
    }),
    forwarded: {
      isAvailable: false,
      refresh: () => (refreshes += 1),
      open: () => t.fail(),
    } as never,
    nowMs: () => 0,
  });
  const {signal} = new AbortController();
  const open = async (index: number) => {
    const endpoint = ENDPOINTS[index];
    await connector.open({endpoint, timeoutMs: 100, isLast: true, signal});
  };
  for (const index of [0, 1, 2]) await open(index);
  t.true(state.isolation.isIsolated);
  t.is(refreshes, 0);
  await open(0);
  t.is(refreshes, 1);
});
