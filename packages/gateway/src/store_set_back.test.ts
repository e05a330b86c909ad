import {LeaseTask} from '@snipestage/entry/agree/lease_task.js';
import {TableExecutor} from '@snipestage/entry/configure/table_executor.js';
import {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {
  brandAs,
  type DataCentreId,
  type Incarnation,
  type InstanceId,
  type LeaseName,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {ClockTieTask} from './clock_tie_task.js';
import {CapturedLog} from './test_support/captured_log.js';
import {MemoryPlatform} from './test_support/memory_platform.js';
import {startGateway, waitUntil} from './test_support/test_gateway.js';

const TERM_MS = 300;
const MARGIN_MS = 40;

function startLease(
  platform: MemoryPlatform,
  name: string,
  t: {teardown(run: () => Promise<void>): void},
) {
  const clock = () => performance.now();
  const task = new LeaseTask({
    lease: {
      name: brandAs<LeaseName>('duties'),
      instance: brandAs<InstanceId>(name),
      incarnation: brandAs<Incarnation>(name),
      termMs: TERM_MS,
      marginMs: MARGIN_MS,
      renewEveryMs: 100,
      pollEveryMs: 50,
    },
    executor: new TableExecutor({platform, clock}),
    clock,
    logger: new CapturedLog().logger,
    isCandidate: () => true,
  });
  task.start();
  t.teardown(() => task.retire());
  return task;
}

async function waitForLease(task: LeaseTask): Promise<number> {
  while (task.held === undefined) {
    await new Promise(done => setTimeout(done, 5));
  }
  return task.held.fencingToken;
}

test('a fencing token is never given out twice', async t => {
  // Guards against two holders with one token, since the store was set back to
  // a copy from before the first of them.
  const platform = new MemoryPlatform();
  const first = startLease(platform, 'first', t);
  await waitForLease(first);
  await first.retire();
  const copy = platform.copy();
  const second = startLease(platform, 'second', t);
  const token = await waitForLease(second);
  await second.retire();
  platform.setBack(copy);
  const third = startLease(platform, 'third', t);
  t.true((await waitForLease(third)) > token);
});

test('nobody acts while a holder of the former era may still do', async t => {
  // Guards against two holders at a time, since the copy says that the lease is
  // free.
  const platform = new MemoryPlatform();
  const copy = platform.copy();
  const holder = startLease(platform, 'holder', t);
  const waiting = startLease(platform, 'waiting', t);
  await Promise.race([waitForLease(holder), waitForLease(waiting)]);
  const [held, other] =
    holder.held === undefined ? [waiting, holder] : [holder, waiting];
  platform.setBack(copy);
  const endsAtMs = performance.now() + 2 * TERM_MS;
  while (performance.now() < endsAtMs) {
    t.false(held.held !== undefined && other.held !== undefined);
    await new Promise(done => setTimeout(done, 1));
  }
});

test('an evacuation stays in force when the copy lacks it', async t => {
  // Guards against requests to a data centre that was evacuated after the copy
  // was made, until the operator has written the evacuation again.
  const {gateway, configuration, lines} = await startGateway({graceMs: 1});
  t.teardown(() => gateway.stop());
  configuration.put('1');
  configuration.put('evacuate/akl-a');
  await waitUntil(() => gateway.evacuated.length === 1);
  configuration.setBack(['1']);
  await waitUntil(() => lines.some(line => line.includes('"isSetBack":true')));
  t.deepEqual(gateway.evacuated, [brandAs<DataCentreId>('akl-a')]);
  configuration.remove('evacuate/akl-a');
  await waitUntil(() => gateway.evacuated.length === 0);
  t.is(gateway.configurationVersion, 1);
});

function makeClock(epochMs: number): AgreedClock {
  const clock = new AgreedClock(0, epochMs);
  clock.noteReading({storeMs: 0, sentAtMs: 0, receivedAtMs: 0});
  return clock;
}

test('the tie of the clock is written again as it was', async t => {
  // Guards against instances that count usage by different clocks, since one
  // that started after the store was set back found no tie and wrote its own.
  const platform = new MemoryPlatform();
  const {logger, lines} = new CapturedLog();
  const copy = platform.copy();
  const task = new ClockTieTask(platform, makeClock(1000), logger);
  await task.tryOnce();
  await task.tryOnce();
  platform.setBack(copy);
  await task.tryOnce();
  const late = makeClock(9000);
  await new ClockTieTask(platform, late, logger).tryOnce();
  t.is(late.epochAt(0), 1000);
  await task.tryOnce();
  t.false(lines.some(line => line.includes('clock_tie_differs')));
});
