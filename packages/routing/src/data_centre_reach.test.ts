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

test('after the pause one request tries the way, and the others go elsewhere', t => {
  // Dozens of requests arrive while the first of them finds out that the data
  // centre is still cut off; each of them would wait as long.
  const reach = new DataCentreReach({pauseMs: 500});
  reach.noteUnreached(AKL_A, ONE, 0);
  reach.noteTrial(AKL_A, 10);
  t.false(reach.isCut(AKL_A, 11), 'one endpoint alone tells nothing');
  reach.noteUnreached(AKL_A, TWO, 20);
  reach.noteTrial(AKL_A, 600);
  t.true(reach.isCut(AKL_A, 601));
  reach.noteReached(AKL_A);
  t.false(reach.isCut(AKL_A, 602));
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
    avoided: new Set<DataCentreId>(),
    nowMs: 1,
  };
  const endpoints = [makeEndpoint('one'), makeEndpoint('two')];
  t.is(findUsable(endpoints, request, {monitor, reach}).length, 2);
});

test('a request that found no way into a data centre goes to another', t => {
  // Both of its tries would be lost on endpoints behind the same cut.
  const beliefs = {
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
  t.deepEqual(findUsable([...near, far], request, beliefs), [far]);
  t.deepEqual(findUsable(near, request, beliefs), [near[1]]);
});
