import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {makeEntrySettings} from '@snipestage/stand_ins/launch/entry_settings_input.js';
import {account, OPERATOR_KEY, TestWorld, waitUntil} from './test_world.js';

test('without the platform instances serve on and new ones start', async t => {
  // The platform's services are down for long. Callers must not notice, and an
  // instance that starts meanwhile must still get the configuration.
  const world = await TestWorld.start({entries: ['akl-a', 'akl-a']});
  t.teardown(() => world.close());
  await world.control(world.platform, {faults: {'*': {mode: 'down'}}});
  t.is((await world.chat(0, 'still there?')).status, 200);
  const refused = await world.submit([account('other')]);
  t.is(refused.status, 503);
  // The list of instances can still be read, since a new instance needs it to
  // find the others.
  await world.control(world.platform, {faults: {lists: {mode: 'ok'}}});
  const settings = await makeEntrySettings({
    instance: 'akl-a-9',
    dataCentre: 'akl-a',
    platformUrl: world.platform.url,
    operatorKey: OPERATOR_KEY,
  });
  const entry = await world.launcher.launchEntry({settings});
  world.entries.push(entry);
  await world.launcher.waitUntilReady(entry);
  t.is((await world.chat(2, 'and here?')).status, 200);
  t.is((await world.status(2)).revision, 1);
});

test('an instance that knows nothing is not ready and says so', async t => {
  // A new instance reaches neither the platform nor a peer. If it reported itself
  // ready, it would refuse every request that the balancer sends it.
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  const settings = await makeEntrySettings({
    instance: 'akl-a-9',
    dataCentre: 'akl-a',
    platformUrl: 'http://127.0.0.1:9',
    operatorKey: OPERATOR_KEY,
  });
  world.entries.push(await world.launcher.launchEntry({settings}));
  const {status, body} = await world.call(1, '/readyz');
  t.is(status, 503);
  t.regex(body, /no configuration yet/);
  t.is((await world.chat(1, 'hello')).status, 503);
});

test('a withdrawn key stays withdrawn at an instance that was frozen', async t => {
  // An instance resumes after a freeze with old messages in its sockets. If its
  // revision went back, a withdrawn key would work again.
  const world = await TestWorld.start({entries: ['akl-a', 'akl-a']});
  t.teardown(() => world.close());
  world.entries[1].process.freeze();
  await world.submit([account('other')]);
  await delay(1000);
  world.entries[1].process.thaw();
  await waitUntil(async () => (await world.status(1)).revision === 2);
  const revisions = await Promise.all(
    Array.from({length: 20}, async () => (await world.status(1)).revision),
  );
  t.true(revisions.every(revision => revision === 2));
});

test('operators who race get one order of tickets', async t => {
  // Sixteen operators submit tickets concurrently at two instances, while answers
  // of the platform are lost. Each must get the true outcome of its own ticket.
  const world = await TestWorld.start({entries: ['akl-a', 'akl-b']});
  t.teardown(() => world.close());
  await world.control(world.platform, {
    faults: {table: {mode: 'lose_answer', count: 3}},
  });
  const answers = await Promise.all(
    Array.from({length: 16}, (_, index) => {
      const state = {id: 'raced', typicalOutputTokens: index + 1};
      const changes = [{kind: 'model', id: 'raced', state}];
      const ticket = {
        number: 100 + index,
        author: `operator ${index}`,
        reason: 'race',
        changes,
      };
      return world.admin(index % 2, 'POST', 'tickets', ticket);
    }),
  );
  const accepted = answers.filter(({status}) => status === 200);
  const refused = answers.filter(({status}) => status === 409);
  t.is(accepted.length + refused.length, 16);
  for (const {body} of refused) {
    t.is(JSON.parse(body).outcome, 'superseded');
  }
  await world.waitForRevision(1 + accepted.length);
  const rows = await world.scanTable('configuration/tickets/');
  t.is(rows.length, 1 + accepted.length);
});
