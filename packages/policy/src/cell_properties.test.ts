/** Properties of an owner and its clients over random interleavings. */

import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import test from 'ava';
import fc from 'fast-check';
import type {CellInput, CellOutput} from './cell_messages.js';
import {CellOwner} from './cell_owner.js';
import type {ClientOutput} from './client_messages.js';
import {FixedLimit} from './limit_policy.js';
import {PermitClient} from './permit_client.js';
import {createPolicySet} from './policy_set.js';
import {createSeededRandom} from './random_source.js';
import {
  CELL,
  makePermitRequest,
  makeClass,
  makeEndpoint,
  makeRelease,
} from './test_fixtures.js';

const SEED = 20261202;
const RUNS = 300;
const TICK_MS = 50;
const MAX_WAITING = 4;
const INSTANCES = ['akl-a-1', 'akl-a-2', 'akl-a-3'].map(id =>
  brandAs<InstanceId>(id),
);
const ENDPOINTS = [
  makeEndpoint('e1', {maxConcurrency: 3}),
  makeEndpoint('e2', {maxConcurrency: 4}),
];
const CLASSES = [
  makeClass(0),
  makeClass(1, {guaranteedShare: 0.1}),
  makeClass(2, {guaranteedShare: 0.1}),
];

type Fault = 'new_owner' | 'no_owner' | 'freeze' | 'thaw' | 'lose_frames';
type Step =
  | {
      readonly kind: 'request';
      readonly instance: number;
      readonly tier: number;
      readonly account: number;
      readonly suspect: boolean;
    }
  | {readonly kind: 'finish' | 'hang_up'; readonly which: number}
  | {readonly kind: 'tick'; readonly times: number}
  | {readonly kind: Fault; readonly which: number};

const which = fc.nat(20);
const ordinaryStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      instance: fc.nat(2),
      tier: fc.nat(2),
      account: fc.nat(2),
      suspect: fc.nat(9).map(number => number === 0),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('finish' as const), which}),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('hang_up' as const), which}),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('tick' as const),
      times: fc.integer({min: 1, max: 20}),
    }),
  },
);
const faults: readonly Fault[] = [
  'new_owner',
  'no_owner',
  'freeze',
  'thaw',
  'lose_frames',
];
const handOver: fc.Arbitrary<Step> = fc.record({
  kind: fc.constant('new_owner' as const),
  which,
});
const faultFreeStep: fc.Arbitrary<Step> = fc.oneof(
  {weight: 20, arbitrary: ordinaryStep},
  {weight: 1, arbitrary: handOver},
);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {weight: 12, arbitrary: ordinaryStep},
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constantFrom(...faults), which}),
  },
);

/** Three instances and an owner, with messages sent in one frame per tick. */
class World {
  readonly running = new Map<
    string,
    {instance: InstanceId; endpoint: string}
  >();
  readonly ended = new Map<string, string>();
  owner!: CellOwner;
  private readonly clients = new Map<InstanceId, PermitClient>();
  private readonly waiting = new Map<string, InstanceId>();
  private owningInstance: InstanceId | null = null;
  private toOwner: CellInput[] = [];
  private toClients: CellOutput[] = [];
  private frozen = false;
  private nowMs = 0;
  private requests = 0;

  constructor(private readonly onDecision: (output: CellOutput) => void) {
    for (const instance of INSTANCES) {
      const random = createSeededRandom(1);
      const client = new PermitClient({cell: CELL, instance, random});
      client.configure({kind: 'classes', classes: CLASSES}, 0);
      client.configure({kind: 'endpoints', endpoints: ENDPOINTS}, 0);
      for (const other of INSTANCES) {
        client.configure({kind: 'instance_joined', instance: other}, 0);
      }
      this.clients.set(instance, client);
    }
    this.changeOwner(0);
    this.tick(10);
  }

  apply(step: Step): void {
    switch (step.kind) {
      case 'request':
        return this.request(step);
      case 'finish':
        return this.finish(pick([...this.running.keys()], step.which));
      case 'hang_up':
        return this.hangUp(pick([...this.waiting.keys()], step.which));
      case 'tick':
        return this.tick(step.times);
      case 'new_owner':
        return this.changeOwner(step.which % INSTANCES.length);
      case 'no_owner':
        return this.loseOwner();
      case 'lose_frames':
        return this.loseFrames();
      case 'freeze':
      case 'thaw':
        this.frozen = step.kind === 'freeze';
    }
  }

  /** Lets all waiting and running requests end under a working owner. */
  settle(): void {
    this.frozen = false;
    if (this.owningInstance === null) this.changeOwner(0);
    for (let round = 0; round < 60; round++) {
      for (const attempt of [...this.running.keys()]) this.finish(attempt);
      this.tick(20);
    }
  }

  waitingCount(): number {
    return this.waiting.size;
  }

  snapshot() {
    return this.owner.snapshot(this.nowMs);
  }

  tick(times: number): void {
    for (let count = 0; count < times; count++) {
      this.nowMs += TICK_MS;
      if (!this.frozen && this.owningInstance !== null) this.runOwner();
      const outputs = this.frozen ? [] : this.toClients.splice(0);
      for (const output of outputs) this.deliver(output);
      for (const [instance, client] of this.clients) {
        this.carryOut(instance, client.tick(this.nowMs));
      }
    }
  }

  private runOwner(): void {
    for (const input of this.toOwner.splice(0)) {
      this.decide(this.owner.receive(input, this.nowMs));
    }
    this.decide(this.owner.tick(this.nowMs));
  }

  private decide(outputs: readonly CellOutput[]): void {
    for (const output of outputs) this.onDecision(output);
    this.toClients.push(...outputs);
  }

  private deliver(output: CellOutput): void {
    const client = this.clients.get(output.instance)!;
    const from = this.owningInstance!;
    this.carryOut(output.instance, client.receive(output, from, this.nowMs));
  }

  private request(step: Extract<Step, {kind: 'request'}>): void {
    const instance = INSTANCES[step.instance];
    const attempt = `t${step.tier}-${this.requests++}`;
    this.waiting.set(attempt, instance);
    const ask = makePermitRequest(attempt, {
      instance,
      tier: step.tier,
      account: `account-${step.account}`,
      suspect: step.suspect,
    });
    const client = this.clients.get(instance)!;
    this.carryOut(instance, client.request(ask, this.nowMs));
  }

  private finish(attempt: string | undefined): void {
    const run = attempt === undefined ? undefined : this.running.get(attempt);
    if (attempt === undefined || run === undefined) return;
    this.running.delete(attempt);
    this.end(attempt, 'finished');
    const release = makeRelease(attempt, run.endpoint);
    const client = this.clients.get(run.instance)!;
    this.carryOut(run.instance, client.release(release, this.nowMs));
  }

  private hangUp(attempt: string | undefined): void {
    if (attempt === undefined) return;
    const instance = this.waiting.get(attempt)!;
    this.waiting.delete(attempt);
    this.end(attempt, 'hung up');
    const id = makePermitRequest(attempt).attempt;
    const client = this.clients.get(instance)!;
    this.carryOut(instance, client.withdraw(id, this.nowMs));
  }

  private changeOwner(index: number): void {
    this.owningInstance = INSTANCES[index];
    this.loseFrames();
    const limits = {
      createLimit: (options: {maxConcurrency: number}) =>
        new FixedLimit(options),
    };
    this.owner = new CellOwner({
      cell: CELL,
      random: createSeededRandom(1),
      startedAtMs: this.nowMs,
      maxWaiting: MAX_WAITING,
      policy: {...createPolicySet('tiered'), ...limits},
    });
    const inputs: CellInput[] = [
      {kind: 'classes', classes: CLASSES},
      {kind: 'endpoints', endpoints: ENDPOINTS},
      ...INSTANCES.map((instance): CellInput => ({
        kind: 'instance_joined',
        instance,
      })),
    ];
    for (const input of inputs)
      this.decide(this.owner.receive(input, this.nowMs));
    this.announceOwner(this.owningInstance);
  }

  private loseOwner(): void {
    this.owningInstance = null;
    this.loseFrames();
    this.announceOwner(null);
  }

  private announceOwner(owner: InstanceId | null): void {
    for (const [instance, client] of this.clients) {
      this.carryOut(instance, client.ownerChanged(owner, this.nowMs));
    }
  }

  private loseFrames(): void {
    this.toOwner = [];
    this.toClients = [];
  }

  private carryOut(
    instance: InstanceId,
    outputs: readonly ClientOutput[],
  ): void {
    for (const output of outputs) {
      if (output.kind === 'tell_owner') {
        if (output.owner === this.owningInstance) {
          this.toOwner.push(output.input);
        }
        continue;
      }
      const {attempt} = output;
      if (!this.waiting.delete(attempt)) {
        throw new Error(`${attempt} got ${output.kind} but was not waiting`);
      }
      if (output.kind === 'refused') this.end(attempt, 'refused');
      else this.running.set(attempt, {instance, endpoint: output.endpoint});
    }
  }

  private end(attempt: string, how: string): void {
    if (this.ended.has(attempt)) throw new Error(`${attempt} ended twice`);
    this.ended.set(attempt, how);
  }
}

function pick<Item>(items: readonly Item[], which: number): Item | undefined {
  return items.length === 0 ? undefined : items[which % items.length];
}

function runningAt(world: World, endpoint: string): number {
  return [...world.running.values()].filter(run => run.endpoint === endpoint)
    .length;
}

test('with one owner at a time no endpoint exceeds its limit', t => {
  // Allotments shrink and grow, grants and releases cross in transit, and
  // owners replace each other without knowing what runs. An engine above its
  // limit slows down all its requests.
  fc.assert(
    fc.property(
      fc.array(faultFreeStep, {maxLength: 120, size: 'max'}),
      steps => {
        const world = new World(() => {});
        for (const step of steps) {
          world.apply(step);
          for (const {id, maxConcurrency} of ENDPOINTS) {
            if (runningAt(world, id) > maxConcurrency) return false;
          }
        }
        return true;
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});

test('no request is shed while one of a lower tier could be shed', t => {
  fc.assert(
    fc.property(
      fc.array(ordinaryStep, {maxLength: 120, size: 'max'}),
      steps => {
        let holds = true;
        const world: World = new World(output => {
          if (output.kind !== 'refuse') return;
          if (output.refusal.reason !== 'overloaded') return;
          const tier = Number(output.refusal.attempt[1]);
          for (const queue of world.snapshot().queue) {
            // One waiting request of each of these classes is protected.
            const own = CLASSES[queue.tier].guaranteedShare > 0 ? 1 : 0;
            if (queue.tier > tier && queue.waiting > own) holds = false;
          }
        });
        for (const step of steps) world.apply(step);
        return holds;
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});

test('no permit or request is lost through changes of owner and faults', t => {
  // Owners are lost, freeze, thaw and replace each other, frames are lost,
  // callers hang up. A lost permit would make the endpoint serve one request
  // less for good; a lost request would keep its caller waiting for ever.
  fc.assert(
    fc.property(fc.array(anyStep, {maxLength: 120, size: 'max'}), steps => {
      const world = new World(() => {});
      for (const step of steps) world.apply(step);
      world.settle();
      const {permits, waiting} = world.snapshot();
      return (
        world.waitingCount() === 0 &&
        world.running.size === 0 &&
        permits.length === 0 &&
        waiting === 0
      );
    }),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});
