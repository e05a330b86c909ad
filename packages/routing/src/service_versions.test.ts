import test from 'ava';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import type {EndpointAddress, ServingEndpoint} from './serving_endpoint.js';
import {ServiceVersions} from './service_versions.js';
import {mayContinue, sharesCache} from './stream_origin.js';

const SERVICE = brandAs<ServiceId>('s');
const [V1, V2] = ['v1', 'v2'].map(each => brandAs<SoftwareVersion>(each));

function endpointOf(softwareVersion?: SoftwareVersion): ServingEndpoint {
  return {
    id: brandAs<EndpointId>(`endpoint-${softwareVersion}`),
    service: SERVICE,
    address: brandAs<EndpointAddress>('127.0.0.1:1'),
    dataCentre: brandAs<DataCentreId>('akl-a'),
    softwareVersion,
    capacity: 1,
    isLeaving: false,
    isCheap: false,
    bornEpochMs: 1,
  };
}

test('no stream begins at a version before it is published', t => {
  const versions = new ServiceVersions();
  const endpoints = [endpointOf(V1), endpointOf(V2), endpointOf()];
  const areOpen = () => endpoints.map(each => versions.mayBegin(each));
  t.deepEqual(areOpen(), [false, false, true]);
  versions.learn(SERVICE, [V1]);
  t.deepEqual(areOpen(), [true, false, true]);
  t.false(versions.isMixed(SERVICE));
  t.deepEqual(
    [...versions.listUnpublished(endpoints)],
    [[SERVICE, new Set([V2])]],
  );
  versions.learn(SERVICE, [V1, V2]);
  t.deepEqual(areOpen(), [true, true, true]);
  t.true(versions.isMixed(SERVICE));
  t.is(versions.listUnpublished(endpoints).size, 0);
});

test('a stream goes on only at a version that is known to be its own', t => {
  const origin = {service: SERVICE, softwareVersion: V1};
  t.true(mayContinue(endpointOf(V1), origin));
  t.false(mayContinue(endpointOf(V2), origin));
  t.false(mayContinue(endpointOf(), origin));
  const unknown = {service: SERVICE, softwareVersion: undefined};
  t.false(mayContinue(endpointOf(), unknown));
  const other = {service: brandAs<ServiceId>('other'), softwareVersion: V1};
  t.false(mayContinue(endpointOf(V1), other));
  t.false(sharesCache(endpointOf(V1), endpointOf(V2)));
});
