import test, {type ExecutionContext} from 'ava';
import {FakeAdmin, runCommand} from '../../test_support/fake_admin.js';

const TICKETS = [
  {
    number: 3,
    author: 'mere',
    reason: 'data centres',
    changes: [
      {
        kind: 'data_centre',
        id: 'akl-a',
        state: {id: 'akl-a', region: 'nz-north'},
      },
      {
        kind: 'data_centre',
        id: 'akl-b',
        state: {id: 'akl-b', region: 'nz-north', evacuated: true},
      },
    ],
  },
  {number: 8, author: 'mere', reason: 'another change', changes: []},
];
const ACCEPTED = {status: 200, body: {outcome: 'accepted', revision: 9}};

async function startAdmin(t: ExecutionContext): Promise<FakeAdmin> {
  const list = {status: 200, body: {tickets: TICKETS}};
  const admin = await FakeAdmin.start(list, ACCEPTED);
  t.teardown(() => admin.stop());
  return admin;
}

test('evacuate changes only that field and uses the next ticket number', async t => {
  // Guards against a ticket that drops the data centre's other fields.
  const admin = await startAdmin(t);
  const args = ['evacuate', 'akl-a', '--author', 'mere', '--reason', 'power'];
  const run = await runCommand([...args, '--admin-url', admin.url]);
  t.is(run.exitCode, 0, run.error);
  t.deepEqual(admin.seen[1].body, {
    number: 9,
    author: 'mere',
    reason: 'power',
    changes: [
      {
        kind: 'data_centre',
        id: 'akl-a',
        state: {id: 'akl-a', region: 'nz-north', evacuated: true},
      },
    ],
  });
});

test('restore removes the evacuated field', async t => {
  const admin = await startAdmin(t);
  const run = await runCommand(['restore', 'akl-b', '--admin-url', admin.url]);
  t.is(run.exitCode, 0, run.error);
  const {changes} = admin.seen[1].body as {changes: Array<{state: object}>};
  t.deepEqual(changes[0].state, {id: 'akl-b', region: 'nz-north'});
});

test('a data centre that is evacuated already needs no ticket', async t => {
  const admin = await startAdmin(t);
  const run = await runCommand(['evacuate', 'akl-b', '--admin-url', admin.url]);
  t.is(run.exitCode, 0);
  t.regex(run.out, /is evacuated already/);
  t.is(admin.seen.length, 1);
});

test('an unknown data centre is reported, and nothing is sent', async t => {
  const admin = await startAdmin(t);
  const run = await runCommand(['evacuate', 'akl-x', '--admin-url', admin.url]);
  t.is(run.exitCode, 4);
  t.regex(run.error, /No data centre akl-x/);
  t.is(admin.seen.length, 1);
});
