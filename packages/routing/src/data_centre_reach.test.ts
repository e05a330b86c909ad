import test from 'ava';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {findUsable} from './placement.js';
import {AKL_A, makeEndpoint, makeRoute} from './test_support/fixtures.js';

const ONE = brandAs<EndpointId>('one');
const TWO = brandAs<EndpointId>('two');

test('two unreachable endpoints mark their whole data centre as cut off', t => {
  // Guards against requests to a data centre that is cut off: each of them
  // waits a third of a second for a connection that never opens.
  const reach = new DataCentreReach({pauseMs: 500});
  reach.noteUnreached(AKL_A, ONE, 0);
  reach.noteUnreached(AKL_A, ONE, 10);
  t.false(reach.isCut(AKL_A, 10));
  reach.noteUnreached(AKL_A, TWO, 20);
  t.true(reach.isCut(AKL_A, 519));
  t.false(reach.isCut(AKL_A, 520));
  // The next trial fails as well; failures during the pause change nothing.
  reach.noteUnreached(AKL_A, ONE, 600);
  reach.noteUnreached(AKL_A, TWO, 700);
  t.true(reach.isCut(AKL_A, 1599));
  t.false(reach.isCut(AKL_A, 1600));
});

test('after the pause one request is a trial, and the others go elsewhere', t => {
  // Guards against dozens of requests that arrive during the trial and would
  // wait as long when the data centre is still cut off.
  const reach = new DataCentreReach({pauseMs: 500});
  reach.noteUnreached(AKL_A, ONE, 0);
  reach.noteTrial(AKL_A, 10);
  t.false(reach.isCut(AKL_A, 11), 'one endpoint alone is no evidence');
  reach.noteUnreached(AKL_A, TWO, 20);
  reach.noteTrial(AKL_A, 600);
  t.true(reach.isCut(AKL_A, 601));
  reach.noteReached(AKL_A);
  t.false(reach.isCut(AKL_A, 602));
});

test('a reached endpoint clears its data centre', t => {
  const reach = new DataCentreReach();
  reach.noteUnreached(AKL_A, ONE, 0);
  reach.noteReached(AKL_A);
  reach.noteUnreached(AKL_A, TWO, 10);
  t.false(reach.isCut(AKL_A, 10));
});

test('when nothing else is left, a data centre counted as cut off is tried', t => {
  const reach = new DataCentreReach();
  reach.noteUnreached(AKL_A, ONE, 0);
  reach.noteUnreached(AKL_A, TWO, 0);
  const monitor = new EndpointMonitor();
  const request = {
    route: makeRoute(),
    prompt: undefined,
    dataCentre: AKL_A,
    excluded: new Set<EndpointId>(),
    avoided: new Set<DataCentreId>(),
    nowMs: 1,
  };
  const endpoints = [makeEndpoint('one'), makeEndpoint('two')];
  t.is(findUsable(endpoints, request, {monitor, reach}).length, 2);
});

test('a request that could not reach a data centre goes to another', t => {
  // Guards against two attempts at endpoints behind the same partition.
  const placementState = {
    monitor: new EndpointMonitor(),
    reach: new DataCentreReach(),
  };
  const far = {
    ...makeEndpoint('far'),
    dataCentre: brandAs<DataCentreId>('akl-b'),
  };
  const request = {
    route: makeRoute(),
    prompt: undefined,
    dataCentre: AKL_A,
    excluded: new Set([ONE]),
    avoided: new Set([AKL_A]),
    nowMs: 1,
  };
  const near = [makeEndpoint('one'), makeEndpoint('two')];
  t.deepEqual(findUsable([...near, far], request, placementState), [far]);
  t.deepEqual(findUsable(near, request, placementState), [near[1]]);
});
