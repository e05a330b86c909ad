import type {InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import test from 'ava';
import fc from 'fast-check';
import {ActiveClock} from './active_clock.js';
import {isNewer} from './member_rules.js';
import {findNeighbours} from './overlay.js';
import {choosePollers} from './rendezvous.js';
import {SimulatedNetworks} from './simulate_rounds.js';

const SIZE = {dataCentres: 3, instancesPerDataCentre: 5};
const ANY_MEMBER: fc.Arbitrary<Member> = fc.record({
  id: fc.constant('akl-a-1' as InstanceId),
  incarnation: fc.constantFrom('one', 'two'),
  dataCentre: fc.constant('akl-a'),
  peerAddress: fc.constant('127.0.0.1:1'),
  state: fc.constantFrom('alive', 'suspect', 'leaving', 'dead'),
  heartbeat: fc.integer({min: 1, max: 3}),
  revision: fc.constant(0),
}) as unknown as fc.Arbitrary<Member>;

test('of two updates at most one replaces the other', t => {
  fc.assert(
    fc.property(ANY_MEMBER, ANY_MEMBER, (a, b) => {
      return !(isNewer(a, b) && isNewer(b, a));
    }),
    {seed: 4, numRuns: 500},
  );
  t.pass();
});

test('neighbours are mutual, few, and connect all', t => {
  const networks = new SimulatedNetworks({
    dataCentres: 5,
    instancesPerDataCentre: 76,
  });
  const nodes = [...networks.nodes.values()];
  const reached = new Set([nodes[0].id]);
  for (const id of reached) {
    for (const next of networks.nodes.get(id)!.neighbours) reached.add(next);
  }
  t.is(reached.size, nodes.length);
  for (const node of nodes) {
    t.true(node.neighbours.length <= 6);
    for (const id of node.neighbours) {
      t.true(networks.nodes.get(id)!.neighbours.includes(node.id));
    }
  }
  const members = nodes.map(node => node.membership.self);
  const polls = choosePollers(members[0].dataCentre, members);
  t.is(polls.length, 2);
  t.deepEqual(
    choosePollers(members[0].dataCentre, [...members].reverse()),
    polls,
  );
  // A single data centre still has its rings.
  const local = members.filter(m => m.dataCentre === members[0].dataCentre);
  t.true(findNeighbours(local[0], local).length >= 2);
});

test('the idle cost of an instance does not grow with the number of instances', t => {
  const rates = [3, 76].map(instancesPerDataCentre => {
    const networks = new SimulatedNetworks({
      dataCentres: 5,
      instancesPerDataCentre,
    });
    networks.run(20_000);
    return Math.max(
      ...[...networks.nodes.values()].map(node => node.framesSent / 20),
    );
  });
  t.true(Math.max(...rates) <= 7, `frames a second: ${rates.join(', ')}`);
});

// Frames from one instance to a neighbour are lost, all others are delivered.
// The neighbour's suspicions must not get the instance held dead, nor cause
// endless gossip.
test('a one-way cut leaves both instances alive and causes few refutations', t => {
  const ids = {from: '' as InstanceId, to: '' as InstanceId};
  const networks = new SimulatedNetworks({
    ...SIZE,
    canPass: (from, to, nowMs) =>
      nowMs < 5000 || from !== ids.from || to !== ids.to,
  });
  const [first] = networks.nodes.values();
  ids.from = first.id;
  ids.to = first.neighbours[0];
  const seen = new Set<Member['state'] | undefined>();
  networks.runUntil(() => {
    for (const id of [ids.from, ids.to]) {
      for (const state of networks.statesOf(id)) seen.add(state);
    }
    return false;
  }, 120_000);
  t.true(seen.has('suspect'));
  t.false(seen.has('dead'));
  // Each new suspicion waits twice as long as the previous one.
  t.true(first.membership.refutationCount >= 1);
  t.true(first.membership.refutationCount <= 8);
});

// The network between data centres is cut for a minute. Each side goes on alone
// and holds the other dead, but no member of its own side. Afterwards all must
// be alive again to all.
test('a healed partition leaves nobody dead', t => {
  const side = (id: InstanceId) => id.startsWith('dc0');
  const networks = new SimulatedNetworks({
    ...SIZE,
    canPass: (from, to, nowMs) =>
      side(from) === side(to) || nowMs < 5000 || nowMs > 65_000,
  });
  const nodes = [...networks.nodes.values()];
  networks.run(60_000);
  const other = nodes.find(node => !side(node.id))!;
  t.is(nodes[0].membership.get(other.id)?.state, 'dead');
  let ownDead = 0;
  networks.runUntil(() => {
    for (const node of nodes) {
      for (const member of node.membership.others()) {
        const isOwn = side(member.id) === side(node.id);
        if (isOwn && member.state === 'dead') ownDead += 1;
      }
    }
    // SeedList dials members held dead, with the same effect.
    if (networks.nowMs === 70_000) networks.connect(nodes[0], other);
    return false;
  }, 30_000);
  t.is(ownDead, 0);
  for (const node of nodes) {
    t.deepEqual([...networks.statesOf(node.id)], ['alive']);
  }
});

// An instance is lost. All others must hold it dead within the time that the
// settings allow, and later remove it.
test('a lost instance is held dead by all, and forgotten', t => {
  const networks = new SimulatedNetworks(SIZE);
  networks.run(5000);
  const [lost] = networks.nodes.values();
  lost.isRunning = false;
  const isDead = () => [...networks.statesOf(lost.id)].join() === 'dead';
  t.true(networks.runUntil(isDead, 60_000) <= 9000);
  networks.run(660_000);
  t.deepEqual([...networks.statesOf(lost.id)], [undefined]);
});

test('the active clock leaves out pauses of the process', t => {
  let monotonicMs = 0;
  const clock = new ActiveClock({
    readMonotonicMs: () => monotonicMs,
    longestGapMs: 1000,
  });
  monotonicMs = 500;
  t.is(clock.readMs(), 500);
  monotonicMs = 20_500;
  t.is(clock.readMs(), 500);
  monotonicMs = 20_600;
  t.is(clock.readMs(), 600);
  t.is(clock.totalPausedMs, 20_000);
});
