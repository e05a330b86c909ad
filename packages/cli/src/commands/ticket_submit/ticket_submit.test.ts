import test, {type ExecutionContext} from 'ava';
import {
  FakeAdmin,
  runCommand,
  type FakeReply,
} from '../../test_support/fake_admin.js';

const TICKET = {
  number: 7,
  author: 'mere',
  reason: 'a model for repair quotes',
  changes: [
    {
      kind: 'model',
      id: 'repair',
      state: {id: 'repair', typicalOutputTokens: 200},
    },
  ],
};
const ACCEPTED = {status: 200, body: {outcome: 'accepted', revision: 3}};
const ALREADY_ACCEPTED = {
  status: 200,
  body: {outcome: 'already_accepted', revision: 3},
};
const UNKNOWN = {status: 503, body: {outcome: 'unknown'}};
const UNAVAILABLE = {status: 503, body: {outcome: 'unavailable'}};
const ROUNDS = 5;

async function startAdmin(t: ExecutionContext, ...replies: FakeReply[]) {
  const admin = await FakeAdmin.start(...replies);
  t.teardown(() => admin.stop());
  return admin;
}

/** An address at which no server listens. */
async function closedUrl() {
  const admin = await FakeAdmin.start(ACCEPTED);
  await admin.stop();
  return admin.url;
}

function submit(urls: string[], ticket: unknown = TICKET) {
  const options = urls.flatMap(url => ['--admin-url', url]);
  const args = ['ticket', 'submit', '-', '--json', ...options];
  return runCommand(args, JSON.stringify(ticket));
}

test('a ticket is sent complete and with the operator key', async t => {
  const admin = await startAdmin(t, ACCEPTED);
  const run = await submit([admin.url]);
  t.is(run.exitCode, 0);
  t.deepEqual(JSON.parse(run.out), {
    outcome: 'accepted',
    number: 7,
    revision: 3,
  });
  t.deepEqual(admin.seen, [
    {
      call: 'POST /admin/v1/tickets',
      authorization: 'Bearer the-operator-key',
      body: TICKET,
    },
  ]);
});

// Guards against a command that fails while one of the named instances is being
// replaced, so that the operator has to find out which one is up.
test('the next instance is called when one is unreachable', async t => {
  const admin = await startAdmin(t, ACCEPTED);
  const run = await submit([await closedUrl(), admin.url]);
  t.is(run.exitCode, 0);
  t.deepEqual(run.delaysMs, []);
});

// The instance accepted the ticket and its answer was lost, or the instance did
// not learn the outcome from the store. Sending the same number again settles
// it: the operator sees one acceptance and nothing is applied twice.
for (const lost of [UNKNOWN, 'hang_up'] as const) {
  const how = lost === 'hang_up' ? 'a lost answer' : 'an unknown outcome';
  test(`${how} is resolved by sending the ticket again with the same number`, async t => {
    const admin = await startAdmin(t, lost, lost, ALREADY_ACCEPTED);
    const run = await submit([admin.url]);
    t.is(run.exitCode, 0);
    t.is(JSON.parse(run.out).outcome, 'already_accepted');
    t.deepEqual(
      admin.seen.map(call => call.body),
      [TICKET, TICKET, TICKET],
    );
  });
}

// The store stays unavailable. The first instance may have written the ticket,
// the second could not. Guards against reporting that nothing took effect.
test('an unknown outcome stays unknown when the store is unavailable afterwards', async t => {
  const first = await startAdmin(t, 'hang_up', UNAVAILABLE);
  const second = await startAdmin(t, UNAVAILABLE);
  const run = await submit([first.url, second.url]);
  t.is(run.exitCode, 5);
  t.regex(JSON.parse(run.out).error.message, /is not known\. Submit the same/);
  t.is(first.seen.length, ROUNDS);
  t.deepEqual(run.delaysMs, [500, 1000, 2000, 4000]);
});

test('while the store is down, the command reports that nothing took effect', async t => {
  const admin = await startAdmin(t, UNAVAILABLE);
  const run = await submit([admin.url, await closedUrl()]);
  t.is(run.exitCode, 5);
  t.regex(JSON.parse(run.out).error.message, /Nothing took effect/);
});

const REFUSALS: ReadonlyArray<[string, FakeReply, number, RegExp]> = [
  ['conflict', answer(409, {outcome: 'conflict'}), 4, /under number 7/],
  [
    'superseded',
    answer(409, {outcome: 'superseded', path: 'model/repair', by: 9}),
    4,
    /model\/repair was changed by ticket 9/,
  ],
  ['a wrong key', answer(401, {}), 4, /does not accept the operator key/],
  ['another server', answer(404, {}), 5, /status 404/],
];

for (const [title, reply, exitCode, message] of REFUSALS) {
  test(`${title} ends with exit code ${exitCode}`, async t => {
    const admin = await startAdmin(t, reply);
    const run = await submit([admin.url]);
    t.is(run.exitCode as number, exitCode);
    t.regex(JSON.parse(run.out).error.message, message);
  });
}

test('faults found by the instance are printed with their paths', async t => {
  const faults = [{path: 'endpoint/a.serves.model', message: 'is not there'}];
  const reply = answer(422, {outcome: 'invalid', faults});
  const admin = await startAdmin(t, reply);
  const run = await submit([admin.url]);
  t.is(run.exitCode, 3);
  t.deepEqual(JSON.parse(run.out).error.faults, faults);
});

test('a ticket with faults is not sent', async t => {
  const admin = await startAdmin(t, ACCEPTED);
  const run = await submit([admin.url], {...TICKET, number: 0, autor: 'mere'});
  t.is(run.exitCode, 3);
  t.deepEqual(
    JSON.parse(run.out).error.faults.map(({path}: {path: string}) => path),
    ['number', 'autor'],
  );
  t.deepEqual(admin.seen, []);
});

function answer(status: number, body: unknown): FakeReply {
  return {status, body};
}
