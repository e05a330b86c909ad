import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {AttemptId, EndpointId} from '@snipestage/types/ids.js';
import type {MemberState} from '@snipestage/types/member.js';
import test, {type ExecutionContext} from 'ava';
import type {PeerNetwork} from './peer_network.js';
import {
  aliveIn,
  areConnected,
  FAST_SETTINGS,
  listOf,
  startNetwork,
  waitUntil,
} from './test_support/networks.js';
import {LOOP_CLOCK} from './test_support/loop_clock.js';
import {Relay, type Forwarding} from './test_support/relay.js';

const CHILD_FILE = fileURLToPath(
  new URL('./test_support/network_child.js', import.meta.url),
);
const GRANT = {
  kind: 'grant',
  grant: {
    attempt: 'attempt-1' as AttemptId,
    endpoint: 'akl-a-repair-1' as EndpointId,
  },
} as const;

/** Starts a network that others reach only through the relay. */
async function startBehindRelay(
  t: ExecutionContext,
  relay: Relay,
  id: string,
  settings = FAST_SETTINGS,
): Promise<PeerNetwork> {
  const advertisedAddress = await relay.listen();
  t.teardown(() => relay.close());
  const network = await startNetwork(t, id, {
    settings: {...settings, advertisedAddress},
  });
  relay.setTarget(network.snapshot().listenAddress);
  return network;
}

/** Records all states that the network publishes of other instances. */
function noteStates(network: PeerNetwork): MemberState[] {
  const states: MemberState[] = [];
  network.onMembersChanged(changes => {
    for (const {member} of changes) states.push(member.state);
  });
  return states;
}

function countEnds(network: PeerNetwork): number {
  const counts = Object.values(network.snapshot().linkEnds);
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Longer than from one ping of a connection to the next one's time-out. */
const PING_MS = 60 * FAST_SETTINGS.heartbeatMs;

async function pause(durationMs: number): Promise<void> {
  const endMs = LOOP_CLOCK.readMs() + durationMs;
  await waitUntil('the end of a pause', () => LOOP_CLOCK.readMs() >= endMs);
}

function stateIn(network: PeerNetwork, other: PeerNetwork): MemberState {
  const {id} = other.self();
  return network.members().find(member => member.id === id)!.state;
}

// A firewall between two instances drops the state of their connection: it
// discards what either sends, while a new connection would work. Requests would
// wait for a permit until their deadline.
test('a silent connection is replaced by one on a new socket', async t => {
  const relays = [new Relay(), new Relay()];
  const first = await startBehindRelay(t, relays[0], 'akl-a-1');
  const second = await startBehindRelay(t, relays[1], 'akl-a-2');
  const states = [noteStates(first), noteStates(second)];
  let received = 0;
  second.onRecords(() => (received += 1));
  first.seed(listOf([second]));
  await waitUntil('a stream', () => first.isConnected(second.self().id));
  const before = relays.flatMap(relay => relay.connections);
  const endsBefore = countEnds(first);
  for (const relay of relays) relay.setForwarding('none');
  const silentEnds = () =>
    (first.snapshot().linkEnds.silent ?? 0) +
    (second.snapshot().linkEnds.silent ?? 0);
  await waitUntil('silence noticed', () => silentEnds() > 0);
  // The first may notice this later than the second; what it sends until then
  // is lost with the stream.
  await waitUntil('the old stream ended', () => countEnds(first) > endsBefore);
  await waitUntil('a new stream', () => first.isConnected(second.self().id));
  first.send(second.self().id, GRANT);
  await waitUntil('a record', () => received > 0);
  const after = relays.flatMap(relay => relay.connections);
  t.true(after.length > before.length);
  t.false(states.flat().includes('dead'));
  // The sockets of the lost connection are closed.
  await waitUntil('old sockets closed', () =>
    before.every(({caller}) => caller.destroyed),
  );
});

interface NetworksBehindRelays {
  readonly networks: PeerNetwork[];
  /**
   * Sets, by relay, the forwarding between the third instance and the others.
   */
  setThirdForwarding(forwardings: readonly Forwarding[]): void;
}

/** Starts three members; cuts spare the connection of the first two. */
async function startThreeNetworks(
  t: ExecutionContext,
): Promise<NetworksBehindRelays> {
  const relays = [new Relay(), new Relay(), new Relay()];
  const [first, second] = [
    await startBehindRelay(t, relays[0], 'akl-a-1'),
    await startBehindRelay(t, relays[1], 'akl-a-2'),
  ];
  first.seed(listOf([second]));
  await waitUntil('a stream', () => first.isConnected(second.self().id));
  const kept = new Set(relays.flatMap(relay => relay.connections));
  // It has the lowest id, so that the streams that it dials are kept: those
  // through the relays of the other two.
  const third = await startBehindRelay(t, relays[2], 'akl-a-0');
  const networks = [first, second, third];
  third.seed(listOf([first, second]));
  for (const network of networks) {
    await waitUntil('three members', () => aliveIn(network).length === 3);
  }
  await waitUntil('streams of the third', () =>
    [first, second].every(other => third.isConnected(other.self().id)),
  );
  const setThirdForwarding = (forwardings: readonly Forwarding[]) => {
    for (const [n, relay] of relays.entries()) {
      relay.newConnectionForwarding = forwardings[n];
      for (const connection of relay.connections) {
        if (!kept.has(connection)) connection.forwarding = forwardings[n];
      }
    }
  };
  return {networks, setThirdForwarding};
}

// An instance is cut off for a while, in both directions and for new
// connections too. The two sides hold each other dead; when the network is
// back, all must connect again without a restart.
test('an instance that was cut off is found again', async t => {
  const {networks, setThirdForwarding} = await startThreeNetworks(t);
  const [first, second, third] = networks;
  setThirdForwarding(['none', 'none', 'none']);
  for (const other of [first, second]) {
    await waitUntil('found dead', () => stateIn(other, third) === 'dead');
  }
  await waitUntil('alone', () => aliveIn(third).length === 1);
  t.deepEqual(aliveIn(first), ['akl-a-1', 'akl-a-2']);
  setThirdForwarding(['both', 'both', 'both']);
  for (const network of networks) {
    await waitUntil('all again', () => aliveIn(network).length === 3);
  }
});

// Frames from one instance to another are lost, all others are delivered. The
// receiver would hold the sender dead, the two would publish opposite states,
// and owners of cells would change back and forth.
test('a one-way cut between two instances is refuted through the third', async t => {
  const {networks, setThirdForwarding} = await startThreeNetworks(t);
  const [first, second, third] = networks;
  const states = networks.map(noteStates);
  // The third reaches the second, but hears nothing from it.
  setThirdForwarding(['both', 'to_target', 'to_caller']);
  const silentEnds = () => third.snapshot().linkEnds.silent ?? 0;
  await waitUntil('silence noticed', () => silentEnds() > 0);
  await waitUntil('suspicion', () => second.snapshot().refutations > 0);
  await waitUntil('refutation', () => stateIn(third, second) === 'alive');
  t.false(states.flat().includes('dead'));
  t.is(stateIn(first, third), 'alive');
  setThirdForwarding(['both', 'both', 'both']);
  await waitUntil('a stream', () => third.isConnected(second.self().id));
  t.false(states.flat().includes('dead'));
});

// A hypervisor stops an instance for longer than it takes to be held dead, then
// resumes it. It must become a member again, and must not hold all others dead
// for having received nothing from them, which would move every role to it.
test('a frozen process becomes a member again and suspects no other', async t => {
  const first = await startNetwork(t, 'akl-a-1');
  const second = await startNetwork(t, 'akl-a-2');
  first.seed(listOf([second]));
  const child = spawn(
    process.execPath,
    [CHILD_FILE, 'akl-a-3', 'akl-a-1', first.address()],
    {stdio: ['pipe', 'pipe', 'inherit']},
  );
  t.teardown(() => child.kill('SIGKILL'));
  const seen: string[] = [];
  createInterface(child.stdout).on('line', line => seen.push(line));
  for (const network of [first, second]) {
    await waitUntil('three members', () => aliveIn(network).length === 3);
  }
  await waitUntil('the view of the child', () => seen.length === 2);
  child.kill('SIGSTOP');
  for (const network of [first, second]) {
    await waitUntil('it is missed', () => aliveIn(network).length === 2);
    await waitUntil('it is held dead', () =>
      network.members().some(member => member.state === 'dead'),
    );
  }
  child.kill('SIGCONT');
  for (const network of [first, second]) {
    await waitUntil('it is back', () => aliveIn(network).length === 3);
  }
  t.deepEqual(
    seen.filter(line => !line.includes('"alive"')),
    [],
  );
});

// A whole machine stands still for a while, so that nothing waits in its
// sockets when it resumes: its clock has jumped and all streams look silent. If
// it replaced them and suspected the others, each such pause would disturb all
// instances.
test('a pause in which nothing arrived breaks no stream', async t => {
  let jumpMs = 0;
  const first = await startNetwork(t, 'akl-a-1', {
    readMonotonicMs: () => LOOP_CLOCK.readMs() + jumpMs,
  });
  const second = await startNetwork(t, 'akl-a-2');
  first.seed(listOf([second]));
  await waitUntil('a stream', () => first.isConnected(second.self().id));
  const states = noteStates(first);
  const endsBefore = countEnds(first);
  jumpMs = 20_000;
  const sentBefore = first.snapshot().framesSent;
  const framesSinceJump = () => first.snapshot().framesSent - sentBefore;
  await waitUntil('some heartbeats', () => framesSinceJump() >= 4);
  t.deepEqual(states, []);
  t.is(countEnds(first), endsBefore);
  t.true(first.snapshot().pausedMs > 19_000);
});

// The answer to an HTTP/2 ping is late, as both instances are busy, while frames
// go on arriving. If the ping ended the connection, a stream that works would be
// lost with its records, and its other end be suspected if it can't be dialled.
test('a late answer to a ping does not end a stream that carries frames', async t => {
  const relay = new Relay();
  const first = await startNetwork(t, 'akl-a-1');
  const second = await startBehindRelay(t, relay, 'akl-a-2');
  first.seed(listOf([second]));
  await waitUntil('a stream', () => areConnected(first, second));
  const endsBefore = countEnds(first) + countEnds(second);
  const framesBefore = second.snapshot().framesReceived;
  // Slowly, so that the longest time between two frames stays short.
  for (let delayMs = 25; delayMs <= 300; delayMs += 25) {
    await pause(150);
    relay.delayMs.to_target = relay.delayMs.to_caller = delayMs;
  }
  await pause(PING_MS);
  t.is(countEnds(first) + countEnds(second), endsBefore);
  t.true(areConnected(first, second));
  t.true(second.snapshot().framesReceived - framesBefore > 20);
});

/** Heartbeats that leave time for a slow relay. */
const SLOW_SETTINGS = {
  ...FAST_SETTINGS,
  heartbeatMs: 400,
  suspectAfterMs: 1600,
  deadAfterMs: 4000,
};

// Two instances are far from each other or busy: each step of opening a stream
// is slow, and the steps together take more than two heartbeat intervals. With
// one time-out of that length for all steps, every dial would be abandoned
// shortly before it succeeds, and requests at one would get no permits of the
// other.
test('instances that answer slowly still connect', async t => {
  const relays = [new Relay(), new Relay()];
  for (const {delayMs} of relays) delayMs.to_target = delayMs.to_caller = 300;
  const first = await startBehindRelay(t, relays[0], 'akl-a-1', SLOW_SETTINGS);
  const second = await startBehindRelay(t, relays[1], 'akl-a-2', SLOW_SETTINGS);
  let received = 0;
  second.onRecords(() => (received += 1));
  first.seed(listOf([second]));
  await waitUntil('a stream', () => areConnected(first, second));
  first.send(second.self().id, GRANT);
  await waitUntil('a record', () => received > 0);
  t.is(received, 1);
});

// Two instances dial each other at the same moment. One sends over the stream
// that will be dropped as the duplicate, since it does not know the other one
// yet, and its records are in transit for long. If the stream were ended
// meanwhile, they would be lost, and a request would wait for a permit whose
// owner never received the request for it.
test('a record in transit on a duplicate stream arrives', async t => {
  const relays = [new Relay(), new Relay()];
  const [toFirst, toSecond] = relays;
  const first = await startBehindRelay(t, toFirst, 'akl-a-1', SLOW_SETTINGS);
  const second = await startBehindRelay(t, toSecond, 'akl-a-2', SLOW_SETTINGS);
  let received = 0;
  second.onRecords(() => (received += 1));
  // The stream that the lower id dials replaces the other one, but later.
  toSecond.delayMs.to_target = toSecond.delayMs.to_caller = 300;
  first.seed(listOf([second]));
  second.seed(listOf([first]));
  await waitUntil('a stream', () => areConnected(first, second));
  toFirst.delayMs.to_caller = 2500;
  first.send(second.self().id, GRANT);
  await waitUntil('a record', () => received > 0);
  t.is(received, 1);
});
