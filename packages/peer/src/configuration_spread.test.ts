import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import test, {type ExecutionContext} from 'ava';
import {ConfigurationSpread} from './configuration_spread.js';
import type {PeerNetwork} from './peer_network.js';
import {PullPlan} from './pull_plan.js';
import {
  aliveIn,
  listOf,
  startNetwork,
  waitUntil,
} from './test_support/networks.js';

interface Node {
  readonly network: PeerNetwork;
  readonly spread: ConfigurationSpread;
  /** Revisions in the order in which they were put in force. */
  readonly applied: number[];
}

async function startNode(
  t: ExecutionContext,
  id: string,
  canApply: (payload: Buffer) => boolean = () => true,
): Promise<Node> {
  const network = await startNetwork(t, id);
  const applied: number[] = [];
  const spread = new ConfigurationSpread({
    network,
    getPayload: revision => Buffer.from(`revision ${revision}`),
    applyPayload: (revision, payload) => {
      if (!canApply(payload)) return false;
      applied.push(revision);
      return String(payload) === `revision ${revision}`;
    },
    pullTimeoutMs: 200,
  });
  t.teardown(() => spread.stop());
  return {network, spread, applied};
}

function isRising(revisions: readonly number[]): boolean {
  return revisions.every(
    (revision, n) => n === 0 || revision > revisions[n - 1],
  );
}

test('an accepted revision comes into force everywhere, rising only', async t => {
  const nodes = await Promise.all(
    [1, 2, 3, 4, 5, 6].map(n => startNode(t, `akl-a-${n}`)),
  );
  const listed = listOf(nodes.map(node => node.network));
  for (const node of nodes) node.network.seed(listed);
  for (const node of nodes) {
    await waitUntil('members', () => aliveIn(node.network).length === 6);
  }
  // Two instances accept in turn; a revision that arrives late must not replace
  // a newer one.
  for (let revision = 1; revision <= 20; revision += 1) {
    nodes[revision % 2].spread.push(revision as Revision);
  }
  for (const node of nodes) {
    await waitUntil('revision 20', () => node.spread.inForce === 20);
    t.true(isRising(node.applied));
  }
});

// An instance starts while the platform can't be reached. Unless it pulls from
// its peers, it has no configuration and refuses every request.
test('a new instance takes the highest revision of its peers', async t => {
  const first = await startNode(t, 'akl-a-1');
  const second = await startNode(t, 'akl-a-2');
  first.spread.push(7 as Revision);
  first.network.seed(listOf([second.network]));
  await waitUntil('revision 7', () => second.spread.inForce === 7);
  const late = await startNode(t, 'akl-a-3');
  late.network.seed(listOf([second.network]));
  await waitUntil('revision 7', () => late.spread.inForce === 7);
  t.deepEqual(late.applied, [7]);
});

// A peer has a revision in force whose payload, of a newer release, this
// instance can't read. It must keep its configuration and go on pulling.
test('a configuration that can not be applied changes nothing', async t => {
  let canApply = false;
  let refused = 0;
  const first = await startNode(t, 'akl-a-1');
  const second = await startNode(t, 'akl-a-2', () => {
    if (!canApply) refused += 1;
    return canApply;
  });
  first.spread.push(3 as Revision);
  first.network.seed(listOf([second.network]));
  await waitUntil('a refusal', () => refused > 0);
  t.is(second.spread.inForce, 0 as Revision);
  canApply = true;
  await waitUntil('revision 3', () => Number(second.spread.inForce) === 3);
});

// The peer that was pulled from never answers: it is frozen, or cut off one
// way.
test('a pull without an answer goes to another peer', t => {
  const plan = new PullPlan(1 as Revision, 1000);
  const [frozen, other] = ['akl-a-1', 'akl-a-2'] as InstanceId[];
  plan.noteSeen(3 as Revision, frozen, 0);
  plan.noteSeen(2 as Revision, other, 0);
  t.is(plan.next(0)?.from, frozen);
  t.is(plan.next(999), undefined);
  t.deepEqual(plan.next(1000), {from: other, aboveRevision: 1 as Revision});
  // Its configuration could not be applied: it is not pulled from again at
  // once.
  plan.noteRejected(other, 1000);
  plan.noteSeen(2 as Revision, other, 1500);
  t.is(plan.next(1500), undefined);
  plan.noteSeen(2 as Revision, other, 11_000);
  t.is(plan.next(11_000)?.from, other);
  plan.noteApplied(2 as Revision);
  t.false(plan.isBehind);
  t.is(plan.next(11_001), undefined);
});
