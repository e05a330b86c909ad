import type {Duplex} from 'node:stream';
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
import {
  EndpointConnection,
  type EndpointConnectFailure,
} from './endpoint_connection.js';
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
class OpenConnection extends EndpointConnection {
  readonly path = 'direct';
  readonly closedCleanly = Promise.resolve(true);
  readonly verdict = 'not_run';
  readonly hasPathBroken = false;

  createConnection(): Duplex {
    throw new Error('a look carries no request');
  }

  reset(): void {
    // Nothing is open.
  }
}

const OPEN = new OpenConnection();
/** Beyond the timeout of a connection that carries a request. */
const SLOW_CONNECT_MS = 500;

/** Probes over a connector that answers with these reasons in turn. */
function start(
  reasons: ReadonlyArray<EndpointConnectFailure['reason']>,
  asked: EndpointConnectRequest[] = [],
): EndpointProbes {
  return new EndpointProbes({
    connector: {
      open: request => {
        const reason = reasons[asked.length];
        asked.push(request);
        return Promise.resolve(
          reason === undefined
            ? OPEN
            : {kind: 'failed', path: 'direct', reason},
        );
      },
    },
  });
}

test('an endpoint that takes a while to accept is up, also while it leaves', async t => {
  // Guards against whole answers that are cut off on a busy machine, or since
  // their endpoint gets no further requests.
  const asked: EndpointConnectRequest[] = [];
  t.true(await start([], asked).isUp(ENDPOINT));
  t.true(asked[0].timeoutMs >= SLOW_CONNECT_MS);
  t.true(asked[0].isProbe);
});

test('only a refusal shows at once that an endpoint is gone', async t => {
  // Guards against whole answers that are cut off while no path is known.
  const asked: EndpointConnectRequest[] = [];
  t.false(await start(['refused'], asked).isUp(ENDPOINT));
  t.is(asked.length, 1);
  t.true(await start(['isolated', 'timed_out']).isUp(ENDPOINT));
});

test('an endpoint that no look reaches is not known to be up', async t => {
  const probes = start(['isolated', 'timed_out', 'not_serving', 'isolated']);
  t.false(await probes.isUp(ENDPOINT));
});
