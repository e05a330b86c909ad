import test from 'ava';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {findUsable} from './placement.js';
import {AKL_A, makeEndpoint, makeRoute} from './test_support/fixtures.js';

const ONE = brandAs<EndpointId>('one');
const TWO = brandAs<EndpointId>('two');

test('two endpoints out of reach tell of their whole data centre', t => {
  // A data centre is cut off. Every request that is sent there waits a third of
  // a second for a connection that never comes, and callers see it.
  const reach = new DataCentreReach({pauseMs: 500});
  reach.noteUnreached(AKL_A, ONE, 0);
  reach.noteUnreached(AKL_A, ONE, 10);
  t.false(reach.isCut(AKL_A, 10));
  reach.noteUnreached(AKL_A, TWO, 20);
  t.true(reach.isCut(AKL_A, 519));
  t.false(reach.isCut(AKL_A, 520));
  // The next try fails as well; those under way meanwhile tell nothing new.
  reach.noteUnreached(AKL_A, ONE, 600);
  reach.noteUnreached(AKL_A, TWO, 700);
  t.true(reach.isCut(AKL_A, 1599));
  t.false(reach.isCut(AKL_A, 1600));
});

test('one that is reached clears its data centre', t => {
  const reach = new DataCentreReach();
  reach.noteUnreached(AKL_A, ONE, 0);
  reach.noteReached(AKL_A);
  reach.noteUnreached(AKL_A, TWO, 10);
  t.false(reach.isCut(AKL_A, 10));
});

test('when nothing else is left, a data centre held for cut is tried', t => {
  const reach = new DataCentreReach();
  reach.noteUnreached(AKL_A, ONE, 0);
  reach.noteUnreached(AKL_A, TWO, 0);
  const monitor = new EndpointMonitor();
  const request = {
    route: makeRoute(),
    prompt: undefined,
    dataCentre: AKL_A,
    excluded: new Set<EndpointId>(),
    nowMs: 1,
  };
  const endpoints = [makeEndpoint('one'), makeEndpoint('two')];
  t.is(findUsable(endpoints, request, {monitor, reach}).length, 2);
});
