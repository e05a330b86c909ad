import type {
  AttemptId,
  CellId,
  ClientAccountId,
  EndpointId,
  Fingerprint,
  InstanceId,
  RequestClassId,
  Revision,
  UsageWindowId,
} from '@snipestage/types/ids.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';
import test, {type ExecutionContext} from 'ava';
import type {PeerNetworkOptions} from './network_options.js';
import type {PeerRecord} from './records.js';
import {
  aliveIn,
  areConnected,
  FAST_SETTINGS,
  listOf,
  startNetwork,
  waitUntil,
} from './test_support/networks.js';

const ATTEMPT = 'attempt-1' as AttemptId;
const CELL = 'akl-a/repair/0' as CellId;
const ENDPOINT = 'akl-a-repair-1' as EndpointId;
const PERMIT = {
  attempt: ATTEMPT,
  cell: CELL,
  endpoint: ENDPOINT,
  clientAccount: 'shop-1' as ClientAccountId,
  requestClass: 'counter' as RequestClassId,
  tier: 0,
  outputTokens: 7,
};

/** One record of each kind; some without their optional fields. */
const EVERY_RECORD: readonly PeerRecord[] = [
  {
    kind: 'ask',
    ask: {
      attempt: ATTEMPT,
      cell: CELL,
      instance: 'akl-a-1' as InstanceId,
      clientAccount: 'shop-1' as ClientAccountId,
      requestClass: 'counter' as RequestClassId,
      tier: 1,
      expectedTokens: 200,
      remainingMs: 1234.5,
      fingerprint: 'f1' as Fingerprint,
      suspect: false,
      cheapAllowed: true,
      excluded: [ENDPOINT],
    },
  },
  {kind: 'withdraw', cell: CELL, attempt: ATTEMPT},
  {
    kind: 'release',
    release: {
      attempt: ATTEMPT,
      cell: CELL,
      endpoint: ENDPOINT,
      outcome: 'ok',
      outputTokens: 12,
      promptTokens: 30,
      firstTokenMs: 80.25,
    },
  },
  {
    kind: 'progress',
    cell: CELL,
    progress: [{attempt: ATTEMPT, outputTokens: 3}],
  },
  {kind: 'in_use', cell: CELL, permits: [PERMIT]},
  {kind: 'grant', grant: {attempt: ATTEMPT, endpoint: ENDPOINT}},
  {
    kind: 'refuse',
    refusal: {attempt: ATTEMPT, reason: 'overloaded', retryAfterMs: 1500},
  },
  {
    kind: 'allot',
    allotment: {
      cell: CELL,
      sequence: 4,
      endpoints: [{endpoint: ENDPOINT, permits: 2}],
    },
  },
  {
    kind: 'configuration',
    revision: 9 as Revision,
    payload: Buffer.from('{"a":1}'),
  },
  {kind: 'configuration_pull', aboveRevision: 8 as Revision},
  {
    kind: 'suspect_request',
    suspect: {fingerprint: 'f1' as Fingerprint, crashes: 1, expiresInMs: 60000},
  },
  {
    kind: 'usage_copy',
    window: 'w-1' as UsageWindowId,
    json: Buffer.from('[]'),
  },
  {kind: 'extension', name: 'load', json: Buffer.from('{}')},
];

/** Logs to a test which links were opened and why they ended. */
function logTo(t: ExecutionContext, name: string): PeerNetworkOptions['log'] {
  const startedAtMs = performance.now();
  return (event, fields) => {
    const atMs = Math.round(performance.now() - startedAtMs);
    t.log(`${atMs} ms ${name}: ${event} ${JSON.stringify(fields)}`);
  };
}

test('every kind of record arrives whole and in order', async t => {
  const first = await startNetwork(t, 'akl-a-1', {log: logTo(t, 'first')});
  const second = await startNetwork(t, 'akl-a-2', {log: logTo(t, 'second')});
  const received: PeerRecord[] = [];
  second.onRecords(record => received.push(record));
  first.seed(listOf([second]));
  await waitUntil('two members', () => aliveIn(first).length === 2);
  for (const record of EVERY_RECORD) {
    t.true(first.send(second.self().id, record));
  }
  await waitUntil('all', () => received.length === EVERY_RECORD.length);
  t.deepEqual(received, EVERY_RECORD);
  t.false(first.send('nobody' as InstanceId, EVERY_RECORD[1]));
});

/** Heartbeats so slow that a busy machine ends no link. */
const SLOW_HEARTBEAT_SETTINGS = {
  ...FAST_SETTINGS,
  heartbeatMs: 1000,
  suspectAfterMs: 4000,
  deadAfterMs: 10_000,
};

test('over an open stream every kind of record arrives whole and in order', async t => {
  const settings = SLOW_HEARTBEAT_SETTINGS;
  const [first, second] = [
    await startNetwork(t, 'akl-a-1', {settings, log: logTo(t, 'first')}),
    await startNetwork(t, 'akl-a-2', {settings, log: logTo(t, 'second')}),
  ];
  const received: PeerRecord[] = [];
  second.onRecords(record => received.push(record));
  const returned: PeerRecord[] = [];
  first.onUndelivered((instance, records) => returned.push(...records));
  first.seed(listOf([second]));
  // A member may be known without a stream. Records sent to it then may rightly
  // be returned, or be lost with a stream that the other side gives up.
  await waitUntil('a stream', () => areConnected(first, second));
  for (const record of EVERY_RECORD) {
    t.true(first.send(second.self().id, record));
  }
  await waitUntil('all', () => received.length === EVERY_RECORD.length);
  t.deepEqual(received, EVERY_RECORD);
  t.deepEqual(returned, []);
  t.false(first.send('nobody' as InstanceId, EVERY_RECORD[1]));
});

test('records queued in one tick share one frame', async t => {
  const first = await startNetwork(t, 'akl-a-1');
  const second = await startNetwork(t, 'akl-a-2');
  const received: PeerRecord[] = [];
  second.onRecords(record => received.push(record));
  first.seed(listOf([second]));
  await waitUntil('two members', () => aliveIn(first).length === 2);
  await waitUntil('a stream', () => first.isConnected(second.self().id));
  const before = first.snapshot().framesSent;
  for (let i = 0; i < 100; i += 1)
    first.send(second.self().id, EVERY_RECORD[1]);
  await waitUntil('all', () => received.length === 100);
  // One frame for the records; heartbeats and gossip may add some.
  t.true(first.snapshot().framesSent - before <= 4);
});

test('five instances find each other from one listed instance', async t => {
  const networks = await Promise.all(
    [1, 2, 3, 4, 5].map(n => startNetwork(t, `akl-a-${n}`)),
  );
  for (const network of networks.slice(1)) network.seed(listOf([networks[0]]));
  for (const network of networks) {
    await waitUntil('five members', () => aliveIn(network).length === 5);
  }
  // Each of the others handles a broadcast record once.
  const heard: string[] = [];
  for (const network of networks) {
    network.onRecords(() => heard.push(network.self().id));
  }
  networks[4].broadcast(EVERY_RECORD[10]);
  await waitUntil('four heard', () => heard.length >= 4);
  t.deepEqual([...heard].sort(), ['akl-a-1', 'akl-a-2', 'akl-a-3', 'akl-a-4']);
});

test('a leaving instance is seen to leave, then to be gone', async t => {
  const networks = await Promise.all(
    [1, 2, 3].map(n => startNetwork(t, `akl-a-${n}`)),
  );
  const [first, second, third] = networks;
  for (const network of networks) network.seed(listOf(networks));
  for (const network of networks) {
    await waitUntil('three members', () => aliveIn(network).length === 3);
  }
  const stateOfThird = () =>
    first.members().find(({id}) => id === third.self().id)?.state;
  let received = 0;
  first.onRecords(() => (received += 1));
  third.leave();
  await waitUntil('leaving', () => stateOfThird() === 'leaving');
  third.send(first.self().id, EVERY_RECORD[2]);
  await third.stop();
  await waitUntil('its last release', () => received === 1);
  await waitUntil('dead', () => stateOfThird() === 'dead');
  t.deepEqual(aliveIn(second), ['akl-a-1', 'akl-a-2']);
});

// A process of another firm, or one with old settings, reaches the peer port.
// If it were accepted, it could send permits and configurations, and operators
// would see members that they never started.
test('a caller without the shared secret is refused', async t => {
  const peer = await startNetwork(t, 'akl-a-1');
  const events: string[] = [];
  const outsider = await startNetwork(t, 'akl-a-2', {
    settings: {...FAST_SETTINGS, sharedSecret: 'another secret of others'},
    log: (event, fields) => events.push(`${event} ${String(fields.reason)}`),
  });
  outsider.seed(listOf([peer]));
  await waitUntil('refusal', () => peer.snapshot().strangersRefused > 1);
  t.deepEqual(aliveIn(peer), ['akl-a-1']);
  t.deepEqual(aliveIn(outsider), ['akl-a-2']);
  t.true(events.includes('link_ended refused'));
});

// The owner of a cell has just crashed and no other instance knows it yet. If
// permit requests waited for a stream that never opens, their callers would
// wait until their deadlines.
test('records that can not be delivered are returned', async t => {
  const first = await startNetwork(t, 'akl-a-1');
  const second = await startNetwork(t, 'akl-a-2');
  const returned: PeerRecord[] = [];
  first.onUndelivered((instance, records) => returned.push(...records));
  first.seed(listOf([second]));
  await waitUntil('a stream', () => first.isConnected(second.self().id));
  await second.stop();
  await waitUntil('no stream', () => !first.isConnected(second.self().id));
  t.true(first.send(second.self().id, EVERY_RECORD[0]));
  await waitUntil('the record', () => returned.length === 1);
  t.deepEqual(returned, [EVERY_RECORD[0]]);
  await waitUntil('dead', () => aliveIn(first).length === 1);
  const isDead = () => first.members().some(({state}) => state === 'dead');
  await waitUntil('dead', isDead);
  t.false(first.send(second.self().id, EVERY_RECORD[0]));
});

// An instance is replaced: its successor starts under the same id, perhaps
// before the others have noticed that the first one is gone. If it were taken
// for the same incarnation, the permits of the dead process would stay in use
// for ever.
test('a restart under the same id is a new incarnation', async t => {
  const first = await startNetwork(t, 'akl-a-1');
  const second = await startNetwork(t, 'akl-a-2');
  const third = await startNetwork(t, 'akl-a-3');
  const replaced: string[] = [];
  third.onMembersChanged(changes => {
    for (const {member, previous} of changes) {
      if (previous === undefined) continue;
      if (previous.incarnation !== member.incarnation) replaced.push(member.id);
    }
  });
  const all: ListedInstance[] = listOf([first, second, third]);
  for (const network of [first, second, third]) network.seed(all);
  await waitUntil('three members', () => aliveIn(third).length === 3);
  await second.stop();
  const successor = await startNetwork(t, 'akl-a-2');
  successor.seed(all);
  const {incarnation} = successor.self();
  for (const network of [first, third]) {
    await waitUntil('the new incarnation', () =>
      network
        .members()
        .some(
          member =>
            member.incarnation === incarnation && member.state === 'alive',
        ),
    );
  }
  t.deepEqual(replaced, ['akl-a-2']);
});
