import test, {type ExecutionContext} from 'ava';
import {FakeAdmin, runCommand} from './test_support/fake_admin.js';

async function startAdmin(t: ExecutionContext, body: unknown, status = 200) {
  const admin = await FakeAdmin.start({status, body});
  t.teardown(() => admin.stop());
  return admin;
}

const TICKET = {
  number: 7,
  author: 'mere',
  reason: 'moves',
  changes: [
    {kind: 'model', id: 'repair', state: {id: 'repair'}},
    {kind: 'endpoint', id: 'akl-a-1', state: null},
  ],
};

test('ticket list prints one line for each ticket', async t => {
  const admin = await startAdmin(t, {tickets: [TICKET]});
  const run = await runCommand(['ticket', 'list', '--admin-url', admin.url]);
  t.is(run.exitCode, 0);
  t.is(
    run.out,
    'number  author  reason  changes\n' +
      '7       mere    moves   model/repair -endpoint/akl-a-1\n',
  );
});

test('ticket show prints the ticket as it was submitted', async t => {
  const admin = await startAdmin(t, {tickets: [TICKET]});
  const args = ['ticket', 'show', '7', '--admin-url', admin.url];
  t.deepEqual(JSON.parse((await runCommand(args)).out), TICKET);
  t.is(admin.seen[0].call, 'GET /admin/v1/tickets/7');
});

test('status prints the state of an instance', async t => {
  const admin = await startAdmin(t, {
    instance: 'akl-a-1',
    ready: false,
    reason: 'no configuration yet',
    revision: 4,
    roles: [],
    members: [{id: 'akl-b-1', dataCentre: 'akl-b', state: 'alive'}],
  });
  const run = await runCommand(['status', '--admin-url', admin.url]);
  t.is(
    run.out,
    'instance  akl-a-1\n' +
      'ready     no: no configuration yet\n' +
      'revision  4\n' +
      'roles     none\n\n' +
      'member   data centre  state  revision\n' +
      'akl-b-1  akl-b        alive  -\n',
  );
});

test('usage prints the lines of each window', async t => {
  const line = {
    clientAccount: 'gear-menders',
    requestClass: 'counter',
    requests: 2,
    promptTokens: 30,
    outputTokens: 40,
  };
  const window = {window: '000000000060000', lines: [line]};
  const admin = await startAdmin(t, {
    counters: {windows: [{...window, unwritten: 1}]},
    sealed: {kind: 'windows', windows: [{...window, reported: true}]},
  });
  const run = await runCommand(['usage', '--admin-url', admin.url]);
  const start = '1970-01-01T00:01:00.000Z';
  const rest = 'gear-menders +counter +2 +30 +40';
  t.regex(
    run.out,
    new RegExp(`${start} +open +${rest}\n${start} +reported +${rest}\n$`),
  );
});

test('dump prints the whole answer', async t => {
  const state = {cells: [{id: 'c-1', waiting: 3}]};
  const admin = await startAdmin(t, state);
  const run = await runCommand(['dump', '--admin-url', admin.url]);
  t.deepEqual(JSON.parse(run.out), state);
});

test('a ticket that was never accepted is not found', async t => {
  const admin = await startAdmin(t, {}, 404);
  const args = ['ticket', 'show', '9', '--admin-url', admin.url];
  const run = await runCommand(args);
  t.is(run.exitCode, 4);
  t.regex(run.error, /No ticket 9 was accepted/);
});

// Guards against draining a healthy instance in place of one that hangs, which
// would happen if the command went on to the next address.
test('drain requires a single instance and calls no other', async t => {
  const admin = await startAdmin(t, {});
  const urls = ['--admin-url', 'http://127.0.0.1:1', '--admin-url', admin.url];
  t.is((await runCommand(['drain', ...urls])).exitCode, 2);
  t.deepEqual(admin.seen, []);
  t.is((await runCommand(['drain', ...urls.slice(2)])).exitCode, 0);
  t.is(admin.seen[0].call, 'POST /admin/v1/drain');
});

test('an answer of another kind of server is not understood', async t => {
  const admin = await startAdmin(t, {hello: 'world'});
  const run = await runCommand(['status', '--admin-url', admin.url]);
  t.is(run.exitCode, 5);
  t.regex(run.error, /does not understand/);
});

test('the hash of a key does not depend on the line end', async t => {
  const key = 'sk-'.padEnd(40, 'k');
  const {out} = await runCommand(['keys', 'hash'], key);
  t.regex(out, /^sha256:[0-9a-f]{64}\n$/);
  t.is((await runCommand(['keys', 'hash'], `${key}\r\n`)).out, out);
  const generated = await runCommand(['keys', 'hash', '--generate', '--json']);
  const {key: newKey, keyHash} = JSON.parse(generated.out);
  t.is((await runCommand(['keys', 'hash'], newKey)).out, `${keyHash}\n`);
});

const FAILING_RUNS: ReadonlyArray<[string[], string, number, RegExp]> = [
  [['nosuch'], '', 2, /unknown command/],
  [['status', '--nosuch'], '', 2, /unknown option/],
  [['status', '--admin-url', '10.0.0.1:8081'], '', 2, /is no URL/],
  [['status', '--admin-url', 'http://127.0.0.1:1'], '', 5, /No instance/],
  [['status', '--key-file', '/nosuch'], '', 3, /can't be read/],
  [['ticket', 'show', '0'], '', 2, /no ticket number/],
  [['ticket', 'validate', '-', '--offline'], '{"number":', 3, /not JSON/],
  [['ticket', 'validate', '-', '--offline'], '{}', 3, /changes: /],
  [['settings', 'check', '/nosuch'], '', 3, /can't be read/],
  [['keys', 'hash'], 'short', 3, /at least 24/],
];

for (const [args, input, exitCode, message] of FAILING_RUNS) {
  test(`${args.join(' ')} < '${input}' ends with ${exitCode}`, async t => {
    const run = await runCommand(args, input);
    t.is(run.exitCode as number, exitCode);
    t.regex(run.error, message);
    t.is(run.out, '');
  });
}

test('the help of a command shows examples and ends with exit code 0', async t => {
  const commands = [
    ...['submit', 'validate', 'show', 'list'].map(name => ['ticket', name]),
    ...['status', 'dump', 'usage', 'drain'].map(name => [name]),
    ['keys', 'hash'],
    ['settings', 'check'],
  ];
  for (const command of commands) {
    const run = await runCommand([...command, '--help']);
    t.is(run.exitCode, 0);
    t.regex(
      run.out,
      new RegExp(`Examples:\n  snipestage ${command.join(' ')}`),
    );
  }
});
