import {setTimeout as delay} from 'node:timers/promises';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {Endpoint} from '@snipestage/types/configuration.js';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import test from 'ava';
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

test('copies of a suspected request wait for the one that runs alone', async t => {
  // Guards against copies of a suspected request that run alone at the same
  // time, each crashing another engine. A caller repeats such a request twice a
  // second.
  const permits = new RecordingPermits();
  const self = brandAs<InstanceId>('akl-a-1');
  const clock = () => performance.now();
  const trials = new SuspectTrials({self, clock, publish: () => {}});
  const guard = new SuspectGuard({
    permits,
    trials,
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
  const crash = {outcome: 'crashed', connectionBroke: true} as const;
  (await guard.acquire(request, signal)).release(crash);
  const trial = await guard.acquire(request, signal);
  t.true(permits.recorded[1].suspect);
  const copies = [1, 2, 3].map(() => guard.acquire(request, signal));
  const refusals = Promise.all(
    copies.map(copy => t.throwsAsync(copy, {instanceOf: RequestError})),
  );
  await delay(300);
  t.is(permits.recorded.length, 2);
  trial.release(crash);
  for (const error of await refusals) {
    t.is(error.refusal.code, 'suspected_crash');
  }
  t.is(permits.recorded.length, 2);
});
