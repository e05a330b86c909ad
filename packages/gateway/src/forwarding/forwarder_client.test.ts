import {once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import type {ForwarderAddress} from '@snipestage/routing/forwarder_choice.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {waitUntil} from '../test_support/test_gateway.js';
import {ForwarderClient} from './forwarder_client.js';

const REQUEST = {
  endpoint: {
    id: brandAs<EndpointId>('endpoint'),
    service: brandAs<ServiceId>('s'),
    address: brandAs<EndpointAddress>('127.0.0.1:1'),
    dataCentre: brandAs<DataCentreId>('akl-a'),
    capacity: 1,
    isLeaving: false,
    isCheap: false,
    bornEpochMs: 7,
  },
  timeoutMs: 200,
  signal: new AbortController().signal,
};
/** HTTP/2 frame with which a server begins. */
const EMPTY_SETTINGS = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]);
const TUNNELS = 4;
/** Time in which gRPC connects once more, though its client was closed. */
const LAST_RECONNECT_MS = 500;
/** Beyond the time after which gRPC connects again by default. */
const RECONNECT_MS = 2500;

/** Where a forwarder was; something else accepts its connections. */
async function startImpostor(
  t: ExecutionContext,
  onConnection: (socket: Socket) => void,
) {
  const sockets = new Set<Socket>();
  let accepted = 0;
  const server = net.createServer(socket => {
    accepted += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    onConnection(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  const client = new ForwarderClient(
    brandAs<ForwarderAddress>(`127.0.0.1:${port}`),
  );
  t.teardown(() => client.close());
  return {client, open: sockets, countAccepted: () => accepted};
}

async function openTunnels(t: ExecutionContext, client: ForwarderClient) {
  for (let count = 0; count < TUNNELS; count += 1) {
    const result = await client.open(REQUEST);
    t.like(result, {kind: 'failed', reason: 'no_answer'});
  }
}

test('nothing goes on connecting to a forwarder that is gone', async t => {
  // Guards against a client for each failure that goes on connecting for good.
  const forwarder = await startImpostor(t, socket => socket.destroy());
  await openTunnels(t, forwarder.client);
  await new Promise(done => setTimeout(done, LAST_RECONNECT_MS));
  const before = forwarder.countAccepted();
  await new Promise(done => setTimeout(done, RECONNECT_MS));
  t.is(forwarder.countAccepted(), before);
});

test('a connection that went silent is closed with the failure', async t => {
  // Guards against connections that an isolated instance keeps for good.
  const forwarder = await startImpostor(t, socket => {
    socket.write(EMPTY_SETTINGS);
    socket.resume();
  });
  await openTunnels(t, forwarder.client);
  await waitUntil(() => forwarder.open.size === 0);
  t.is(forwarder.countAccepted(), TUNNELS);
});

test('connections to a frozen forwarder are closed once it goes on', async t => {
  // Guards against connections that outlive the forwarder's standstill.
  const forwarder = await startImpostor(t, socket => socket.resume());
  await openTunnels(t, forwarder.client);
  for (const socket of forwarder.open) socket.write(EMPTY_SETTINGS);
  await waitUntil(() => forwarder.open.size === 0);
  t.is(forwarder.countAccepted(), TUNNELS);
});
