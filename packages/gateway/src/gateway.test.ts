import http from 'node:http';
import test from 'ava';
import {get, startGateway, waitUntil} from './test_support/test_gateway.js';

test('an instance is ready with a configuration only, and not while it stops', async t => {
  // The balancer sends callers to instances that report ready. One without a
  // configuration could only refuse them, and with a 404 they would conclude
  // that nothing exists; one that stops and still reports ready would get new
  // callers until its process ends.
  const {gateway, configuration, callers, readiness} = await startGateway();
  t.is((await get(readiness)).statusCode, 503);
  t.is((await get(callers)).statusCode, 503);
  configuration.put('1');
  await waitUntil(() => gateway.isReady);
  t.is((await get(readiness)).statusCode, 200);
  t.is((await get(callers)).statusCode, 404);
  const agent = new http.Agent({keepAlive: true});
  t.teardown(() => agent.destroy());
  t.is((await get(callers, agent)).headers.connection, 'keep-alive');
  const stopped = gateway.stop();
  t.is((await get(readiness)).statusCode, 503);
  // The balancer has not noticed yet: requests are still served, and their
  // connections close with the answers.
  const answer = await get(callers, agent);
  t.is(answer.statusCode, 404);
  t.is(answer.headers.connection, 'close');
  await stopped;
  await t.throwsAsync(get(callers), {code: 'ECONNREFUSED'});
});

test('an older version never replaces a newer one', async t => {
  // A read of the store arrives late. Keys withdrawn meanwhile would become
  // valid again.
  const {gateway, configuration} = await startGateway();
  configuration.put('7');
  await waitUntil(() => gateway.isReady);
  configuration.put('5');
  configuration.put('9');
  await waitUntil(() => gateway.configurationVersion === 9);
  configuration.put('8');
  await new Promise(done => setTimeout(done, 100));
  t.is(gateway.configurationVersion, 9);
  await gateway.stop();
});

test('a change of the configuration leaves evacuations in force', async t => {
  // A reread or an unrelated change must not reopen an evacuated data centre.
  const {gateway, configuration} = await startGateway();
  configuration.put('evacuate/akl-a');
  configuration.put('1');
  await waitUntil(() => gateway.isReady);
  t.deepEqual(gateway.evacuated, ['akl-a']);
  configuration.put('2');
  await waitUntil(() => gateway.configurationVersion === 2);
  t.deepEqual(gateway.evacuated, ['akl-a']);
  configuration.put('evacuate/akl-b');
  await waitUntil(() => gateway.evacuated.length === 2);
  configuration.remove('evacuate/akl-a');
  await waitUntil(() => gateway.evacuated.length === 1);
  t.deepEqual(gateway.evacuated, ['akl-b']);
  await gateway.stop();
});
