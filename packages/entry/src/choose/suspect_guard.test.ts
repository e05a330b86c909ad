import {setTimeout as delay} from 'node:timers/promises';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {Endpoint} from '@snipestage/types/configuration.js';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import test, {type ExecutionContext} from 'ava';
import {Permits, type Permit, type PermitRequest} from './permits.js';
import {SuspectGuard} from './suspect_guard.js';
import {SuspectTrials} from './suspect_trials.js';

class RecordingPermits extends Permits {
  readonly recorded: PermitRequest[] = [];

  async acquire(request: PermitRequest): Promise<Permit> {
    this.recorded.push(request);
    const endpoint = {
      id: `e${this.recorded.length}`,
      dataCentre: 'akl-a',
    } as unknown as Endpoint;
    return {endpoint, progress: () => {}, release: () => {}};
  }
}

const CRASH = {outcome: 'crashed', connectionBroke: true} as const;

function createGuard(t: ExecutionContext) {
  const permits = new RecordingPermits();
  const self = brandAs<InstanceId>('akl-a-1');
  const clock = () => performance.now();
  const guard = new SuspectGuard({
    permits,
    trials: new SuspectTrials({self, clock, publish: () => {}}),
    self,
    incarnation: () => brandAs('life'),
    clock,
    isReachable: () => Promise.resolve(false),
    onError: (endpoint, error) => t.fail(String(error)),
    publish: () => {},
  });
  const {signal} = new AbortController();
  const request = {
    fingerprint: brandAs('poison'),
    remainingMs: 60_000,
    limit: {kind: 'timeout', timeoutMs: 60_000},
  } as unknown as PermitRequest;
  return {guard, permits, acquire: () => guard.acquire(request, signal)};
}

test('copies of a suspected request wait for the one that runs alone', async t => {
  // Guards against copies of a suspected request that run alone at the same
  // time, each crashing another engine. A caller repeats such a request twice a
  // second.
  const {permits, acquire} = createGuard(t);
  (await acquire()).release(CRASH);
  const trial = await acquire();
  t.true(permits.recorded[1].suspect);
  const copies = [1, 2, 3].map(() => acquire());
  const refusals = Promise.all(
    copies.map(copy => t.throwsAsync(copy, {instanceOf: RequestError})),
  );
  await delay(300);
  t.is(permits.recorded.length, 2);
  trial.release(CRASH);
  for (const error of await refusals) {
    t.is(error.refusal.code, 'suspected_crash');
  }
  t.is(permits.recorded.length, 2);
});

test('suspected requests are counted by what becomes of them', async t => {
  // Guards against requests that are refused for minutes and shown nowhere.
  const {guard, acquire} = createGuard(t);
  const count = () => Object.fromEntries(guard.countByState());
  t.deepEqual(count(), {run_alone: 0, refuse: 0});
  (await acquire()).release(CRASH);
  t.deepEqual(count(), {run_alone: 1, refuse: 0});
  (await acquire()).release(CRASH);
  await delay(300);
  t.deepEqual(count(), {run_alone: 0, refuse: 1});
});
