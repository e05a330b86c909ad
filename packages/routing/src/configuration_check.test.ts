import test from 'ava';
import {
  brandAs,
  type ClientAccountId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {checkConfiguration} from './configuration_check.js';
import type {RouteId, Service} from './route.js';
import {makeConfiguration, makeRoute, REPAIR} from './test_support/fixtures.js';

const SERVICE: Service = {id: REPAIR, engine: undefined, scaling: undefined};
const CLEAN = makeConfiguration({
  routes: [makeRoute()],
  services: [SERVICE],
});

/** Paths of the findings, in order. */
function findPaths(changes: Partial<typeof CLEAN>): string[] {
  return checkConfiguration({...CLEAN, ...changes}).map(({path}) => path);
}

test('a configuration without contradictions is clean', t => {
  t.deepEqual(findPaths({}), []);
});

test('entries that never match are found', t => {
  // Guards against a route, a key or a service that operators believe is used.
  const other = makeRoute({
    id: brandAs<RouteId>('other'),
    host: 'SHOP.example:443',
  });
  t.deepEqual(findPaths({routes: [makeRoute(), other]}), [
    'routes[0].pathPrefix',
  ]);
  const noSlash = makeRoute({pathPrefix: '/summary'});
  t.deepEqual(findPaths({routes: [noSlash]}), ['routes[0].pathPrefix']);
  const booking = {...SERVICE, id: brandAs<ServiceId>('booking')};
  t.deepEqual(findPaths({services: [SERVICE, booking]}), ['services[1]']);
  const accounts = ['one', 'two'].map(id => ({
    id: brandAs<ClientAccountId>(id),
    keys: ['k'],
    tier: undefined,
  }));
  t.deepEqual(findPaths({clientAccounts: accounts}), [
    'clientAccounts[0].keys[0]',
  ]);
});

test('limits that contradict each other are found', t => {
  // Guards against targets that no request can meet.
  const late = makeRoute({latencyTargetMs: 7000, maxAttempts: 1});
  t.deepEqual(findPaths({routes: [late]}), ['routes[0].timeoutMs']);
  const many = makeRoute({latencyTargetMs: 600, maxAttempts: 11});
  t.deepEqual(findPaths({routes: [many]}), ['routes[0].maxAttempts']);
  const scaling = {
    minCount: 5,
    maxCount: 3,
    bootMs: 1,
    cheapPriceRatio: 1,
    priceByDataCentre: new Map(),
  };
  t.deepEqual(findPaths({services: [{...SERVICE, scaling}]}), [
    'services[0].scaling.minCount',
  ]);
  const limits = {...CLEAN.limits, idleTimeoutMs: 0};
  t.deepEqual(findPaths({limits}), ['limits.idleTimeoutMs']);
});

test('targets without a service are found', t => {
  const targets = [{service: brandAs<ServiceId>('gone'), weight: 1}];
  t.deepEqual(findPaths({routes: [makeRoute({targets})]}), [
    'routes[0].targets[0].service',
    'services[0]',
  ]);
});
