import test from 'ava';
import {request, Agent} from 'node:http';
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

test('a link passes, is cut, refuses and passes again', async t => {
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

test('open connections go silent for good while new ones work', async t => {
  // Something between the ends has lost track of a pooled connection. A user
  // would see a call that never ends, though the service is well.
  const {link, agent, stop} = await startLink();
  await get(link.url, agent);
  await link.setMode('silent_existing');
  t.deepEqual(await get(link.url, agent, 50), {failure: 'SILENT'});
  t.deepEqual(await get(link.url, new Agent()), {status: 200});
  await stop();
});

test('bytes one way vanish', async t => {
  const {link, stop} = await startLink();
  await link.setMode('drop_to_client');
  const outcome = await get(link.url, new Agent(), 50);
  t.deepEqual(outcome, {failure: 'SILENT'});
  await stop();
});
