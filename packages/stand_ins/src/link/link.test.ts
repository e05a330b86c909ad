import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import test from 'ava';
import {request, Agent} from 'node:http';
import {listenOn} from '../http/listen.js';
import {ServiceStandIn} from '../service/service_stand_in.js';
import {Link} from './link.js';

interface Outcome {
  readonly status?: number;
  readonly failure?: string;
}

function get(url: string, agent: Agent, timeoutMs = 2000): Promise<Outcome> {
  return new Promise(resolve => {
    const sent = request(`${url}/stock/tent`, {agent}, response => {
      response.resume();
      response.once('end', () => resolve({status: response.statusCode}));
    });
    sent.setTimeout(timeoutMs, () => {
      sent.destroy(Object.assign(new Error('silence'), {code: 'SILENT'}));
    });
    sent.once('error', (error: NodeJS.ErrnoException) =>
      resolve({failure: error.code}),
    );
    sent.end();
  });
}

async function startLink() {
  const service = new ServiceStandIn();
  await service.start();
  const link = new Link({targetPort: Number(new URL(service.url).port)});
  await link.start();
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  const stop = async () => {
    agent.destroy();
    await link.stop();
    await service.stop();
  };
  return {link, agent, stop};
}

test('a link relays, resets, refuses and relays again', async t => {
  const {link, agent, stop} = await startLink();
  t.deepEqual(await get(link.url, agent), {status: 200});
  await link.setMode('cut');
  const once = new Agent();
  t.deepEqual(await get(link.url, once), {failure: 'ECONNRESET'});
  await link.setMode('refuse');
  t.deepEqual(await get(link.url, once), {failure: 'ECONNREFUSED'});
  await link.setMode('pass');
  t.deepEqual(await get(link.url, once), {status: 200});
  await stop();
});

test('open connections go silent permanently while new ones work', async t => {
  // A device on the path loses the state of a pooled connection: a call on it
  // never ends although the service is healthy.
  const {link, agent, stop} = await startLink();
  await get(link.url, agent);
  await link.setMode('silent_existing');
  t.deepEqual(await get(link.url, agent, 50), {failure: 'SILENT'});
  t.deepEqual(await get(link.url, new Agent()), {status: 200});
  await stop();
});

test('bytes in a dropped direction do not arrive', async t => {
  const {link, stop} = await startLink();
  await link.setMode('drop_to_client');
  const outcome = await get(link.url, new Agent(), 50);
  t.deepEqual(outcome, {failure: 'SILENT'});
  await stop();
});

test('a connection that survives a failure of one direction loses no bytes', async t => {
  // Packets in one direction are lost while a stream runs, and TCP retransmits
  // them. If the link dropped bytes and relayed later ones, the caller would
  // receive an answer with a gap, which no real network causes.
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    // The link resets open connections when it stops.
    socket.on('error', () => undefined);
    sockets.push(socket);
  });
  const port = await listenOn(server, 0, '127.0.0.1');
  const link = new Link({targetPort: port});
  await link.start();
  const [host, linkPort] = link.address.split(':');
  const client = connect({host, port: Number(linkPort)});
  t.teardown(async () => {
    client.destroy();
    await link.stop();
    server.close();
  });
  let received = '';
  client.on('data', data => (received += data.toString()));
  await once(server, 'connection');
  const [target] = sockets;
  for (const [text, mode] of [
    ['first ', 'pass'],
    ['second ', 'drop_to_client'],
    ['third', 'pass'],
  ] as const) {
    await link.setMode(mode);
    target.write(text);
    await new Promise(done => setTimeout(done, 50));
  }
  t.is(received, 'first second third');
});

test('a link that was stopped does not listen again when its mode changes', async t => {
  // Guards against a soak that ends since the port of a crashed endpoint's link
  // belongs to its successor when a fault of the link ends.
  const link = new Link({targetPort: 9});
  await link.start();
  await link.stop();
  const successor = new Link({port: link.port, targetPort: 9});
  await successor.start();
  t.teardown(() => successor.stop());
  await link.setMode('pass');
  t.is(successor.port, link.port);
});

test('a reset that comes with the last bytes stays a reset', async t => {
  // Guards against endpoints that crash in the middle of an answer and seem to
  // have closed their connection behind a link.
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.write('half of it');
    socket.resetAndDestroy();
  });
  const link = new Link({targetPort: await listenOn(server, 0, '127.0.0.1')});
  await link.start();
  t.teardown(async () => {
    await link.stop();
    server.close();
  });
  const socket = connect(link.port, '127.0.0.1').resume();
  const [error] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
  t.is(error.code, 'ECONNRESET');
});
