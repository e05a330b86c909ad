import {once} from 'node:events';
import {connect} from 'node:net';
import test from 'ava';
import {EndpointStandIn} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import {brandAs, type ServiceId} from '@snipestage/types/ids.js';
import {networkOf} from './own_network.js';

test('concurrent runs have separate networks', t => {
  const networks = [250, 251, 499, 500, 62_499].map(networkOf);
  t.deepEqual(networks, [
    '127.3.0',
    '127.3.1',
    '127.3.249',
    '127.4.0',
    '127.251.249',
  ]);
});

test('a call for an address of another run does not reach an endpoint', async t => {
  // An instance that outlives its killed soak keeps calling the store at
  // 127.0.0.1. When the system gives that port to an endpoint of another soak,
  // the endpoint reports hundreds of requests that no caller of its run sent.
  const endpoint = new EndpointStandIn({
    id: 'engine-0.1',
    service: brandAs<ServiceId>('engines'),
    capacity: 1,
    isEngine: true,
    random: () => 0,
  });
  const port = await endpoint.start(`${networkOf(process.pid)}.254`);
  const stranger = connect({host: '127.0.0.1', port});
  const [error] = (await once(stranger, 'error')) as [NodeJS.ErrnoException];
  endpoint.stop();
  t.is(error.code, 'ECONNREFUSED');
  t.deepEqual(endpoint.runs, []);
});
