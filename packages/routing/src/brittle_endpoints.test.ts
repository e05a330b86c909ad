import {randomLcg} from 'd3-random';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {BrittleEndpoints} from './brittle_endpoints.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import type {EndpointAddress, ServingEndpoint} from './serving_endpoint.js';

const CAPACITY = 6;
const ENDPOINT: ServingEndpoint = {
  id: brandAs<EndpointId>('e'),
  service: brandAs<ServiceId>('s'),
  address: brandAs<EndpointAddress>('10.0.0.1:80'),
  dataCentre: brandAs<DataCentreId>('akl-a'),
  capacity: CAPACITY,
  isLeaving: false,
  isCheap: false,
  bornEpochMs: 1,
};

function create(instances: number, random = () => 0) {
  const monitor = new EndpointMonitor();
  const readInstances = () => instances;
  const brittle = new BrittleEndpoints({monitor, readInstances, random});
  return {monitor, brittle};
}

/** Reports a load of the endpoint as it answers a request. */
function report(monitor: EndpointMonitor, running: number, nowMs: number) {
  const load = {running, waiting: 0, capacity: CAPACITY};
  monitor.noteLoad(ENDPOINT.id, load, nowMs);
}

test('an endpoint that isn’t brittle is never held back', t => {
  const {monitor, brittle} = create(9);
  report(monitor, CAPACITY, 0);
  brittle.noteRejected(ENDPOINT.id, 0);
  t.true(brittle.mayAdmit(ENDPOINT, 0));
});

test('a brittle endpoint with room gets requests', t => {
  // Guards against endpoints that stand idle because they are brittle.
  const {monitor, brittle} = create(9);
  brittle.note(ENDPOINT.id, 3, 0);
  report(monitor, 1, 0);
  for (let count = 0; count < 20; count += 1) {
    t.true(brittle.mayAdmit(ENDPOINT, 0));
    brittle.noteSent(ENDPOINT, 0);
  }
});

test('a brittle endpoint that is known to be full gets none', t => {
  const {monitor, brittle} = create(1);
  brittle.note(ENDPOINT.id, 100, 0);
  report(monitor, CAPACITY, 2000);
  t.false(brittle.mayAdmit(ENDPOINT, 2000));
});

test('after a rejection an endpoint rests for the instance’s share', t => {
  const {brittle} = create(9);
  brittle.note(ENDPOINT.id, 3, 0);
  brittle.noteRejected(ENDPOINT.id, 1000);
  t.is(brittle.holdLeftMs(ENDPOINT.id, 1000), 4500);
  t.false(brittle.mayAdmit(ENDPOINT, 5499));
  t.true(brittle.mayAdmit(ENDPOINT, 5500));
});

test('an endpoint that has room again gets requests before that', t => {
  const {monitor, brittle} = create(9);
  brittle.note(ENDPOINT.id, 3, 0);
  brittle.noteRejected(ENDPOINT.id, 1000);
  report(monitor, 1, 1000);
  t.false(brittle.mayAdmit(ENDPOINT, 1001));
  report(monitor, 1, 1500);
  t.true(brittle.mayAdmit(ENDPOINT, 1501));
});

test('an answer that no longer announces it ends it, and so does a restart', t => {
  const {brittle} = create(9);
  t.is(brittle.note(ENDPOINT.id, 3, 0), 'announced');
  t.is(brittle.note(ENDPOINT.id, 3, 0), undefined);
  t.is(brittle.note(ENDPOINT.id, 4, 0), 'changed');
  t.is(brittle.note(ENDPOINT.id, undefined, 0), 'lifted');
  brittle.note(ENDPOINT.id, 3, 0);
  brittle.forget(ENDPOINT.id);
  t.is(brittle.find(ENDPOINT.id), undefined);
});

for (const instances of [3, 9, 60, 380]) {
  test(`load pattern: ${instances} instances send to a brittle endpoint that is always full`, t => {
    // Guards against rejections that add up over all instances.
    const random = randomLcg(7);
    const limit = 5;
    const members = Array.from({length: instances}, () => {
      const member = create(instances, random);
      member.brittle.note(ENDPOINT.id, limit, 0);
      return member;
    });
    const rejectedAtMs: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      for (const {monitor, brittle} of members) {
        if (random() > 0.2 || !brittle.mayAdmit(ENDPOINT, nowMs)) continue;
        brittle.noteSent(ENDPOINT, nowMs);
        brittle.noteRejected(ENDPOINT.id, nowMs);
        report(monitor, CAPACITY - 1, nowMs);
        rejectedAtMs.push(nowMs);
      }
    }
    const steady = rejectedAtMs.filter(atMs => atMs > 5000);
    const most = Math.max(
      0,
      ...steady.map(
        fromMs =>
          steady.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length,
      ),
    );
    t.log(`${most} rejections in the worst second`);
    t.true(most <= limit);
  });
}
