import test from 'ava';
import type {
  EndpointAddress,
  ServingEndpoint,
} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import type {EndpointConnectRequest} from './endpoint_connector.js';
import {EndpointProbes} from './endpoint_probes.js';

const ENDPOINT: ServingEndpoint = {
  id: brandAs<EndpointId>('endpoint'),
  service: brandAs<ServiceId>('s'),
  address: brandAs<EndpointAddress>('127.0.0.1:1'),
  dataCentre: brandAs<DataCentreId>('akl-a'),
  capacity: 1,
  isLeaving: true,
  isCheap: false,
  bornEpochMs: 1,
};
/** Beyond the timeout of a connection that carries a request. */
const SLOW_CONNECT_MS = 500;

test('an endpoint that takes a while to accept is up, also while it leaves', async t => {
  // Guards against whole answers that are cut off on a busy machine, or since
  // their endpoint gets no further requests.
  const asked: EndpointConnectRequest[] = [];
  const probes = new EndpointProbes({
    connector: {
      open: request => {
        asked.push(request);
        const isLate = request.timeoutMs < SLOW_CONNECT_MS;
        const reason = isLate ? 'timed_out' : 'refused';
        return Promise.resolve({kind: 'failed', path: 'direct', reason});
      },
    },
  });
  t.false(await probes.isUp(ENDPOINT));
  t.true(asked[0].timeoutMs >= SLOW_CONNECT_MS);
  t.true(asked[0].isProbe);
});
