import test from 'ava';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {compareIdentity} from './endpoint_identity.js';
import type {EndpointAddress, ServingEndpoint} from './serving_endpoint.js';

const ID = brandAs<EndpointId>('i-1');
const OTHER_ID = brandAs<EndpointId>('i-2');
const ENDPOINT: ServingEndpoint = {
  id: ID,
  service: brandAs<ServiceId>('s'),
  address: brandAs<EndpointAddress>('127.0.0.1:1'),
  dataCentre: brandAs<DataCentreId>('akl-a'),
  capacity: 1,
  isLeaving: false,
  isCheap: false,
  bornEpochMs: 5,
};

test('an endpoint is known by its id or its start', t => {
  t.is(compareIdentity(ENDPOINT, {id: ID}), 'same');
  t.is(compareIdentity(ENDPOINT, {bornEpochMs: 5}), 'same');
  t.is(compareIdentity(ENDPOINT, {id: OTHER_ID}), 'other');
});

test('a later start under the same id is another endpoint', t => {
  // Guards against a crashed endpoint that is back before it is looked at.
  t.is(compareIdentity(ENDPOINT, {bornEpochMs: 6}), 'other');
  t.is(compareIdentity(ENDPOINT, {id: ID, bornEpochMs: 6}), 'other');
});

test('what states nothing is not known to be the endpoint', t => {
  // Guards against taking any answer at an address for that of its last owner.
  t.is(compareIdentity(ENDPOINT, {}), 'unknown');
  const unborn = {...ENDPOINT, bornEpochMs: undefined};
  t.is(compareIdentity(unborn, {bornEpochMs: 5}), 'unknown');
});
