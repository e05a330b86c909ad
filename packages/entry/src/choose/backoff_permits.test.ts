import {RequestError} from '@snipestage/errors/request_error.js';
import type {Endpoint} from '@snipestage/types/configuration.js';
import {brandAs, type AttemptId} from '@snipestage/types/ids.js';
import test from 'ava';
import {Permits, type Permit, type PermitRequest} from './permits.js';
import {BackoffPermits} from './backoff_permits.js';

const MODEL = {kind: 'model', model: 'repair'};
const ONE = {id: 'one', url: 'http://10.0.0.1:1', serves: MODEL};
const TWO = {id: 'two', url: 'http://10.0.0.2:1', serves: MODEL};
const REQUEST = {
  attempt: brandAs<AttemptId>('r.1'),
  target: MODEL,
  remainingMs: 5000,
  excluded: [],
} as unknown as PermitRequest;

/** Grants the first endpoint that isn't excluded, and records requests. */
class FirstPermits extends Permits {
  readonly requests: PermitRequest[] = [];
  readonly released: string[] = [];

  constructor(private readonly endpoints: readonly object[]) {
    super();
  }

  async acquire(request: PermitRequest): Promise<Permit> {
    this.requests.push(request);
    const endpoint = (this.endpoints as readonly Endpoint[]).find(
      ({id}) => !request.excluded.includes(id),
    )!;
    const release = ({outcome}: {outcome: string}) =>
      void this.released.push(`${endpoint.id} ${outcome}`);
    return {endpoint, progress: () => {}, release};
  }
}

function idOf({endpoint}: Permit): string {
  return endpoint.id;
}

function createPermits(endpoints: readonly object[]) {
  const inner = new FirstPermits(endpoints);
  const clock = {nowMs: 0};
  const permits = new BackoffPermits({
    permits: inner,
    listEndpoints: () => endpoints as readonly Endpoint[],
    clock: () => clock.nowMs,
  });
  const acquire = () => permits.acquire(REQUEST, new AbortController().signal);
  return {inner, clock, acquire};
}

test('an endpoint is excluded until its backoff is over', async t => {
  const {clock, acquire} = createPermits([ONE, TWO]);
  const first = await acquire();
  first.release({outcome: 'failed', backoffMs: 1000});
  t.is(idOf(await acquire()), 'two');
  clock.nowMs = 999;
  t.is(idOf(await acquire()), 'two');
  clock.nowMs = 1000;
  t.is(idOf(await acquire()), 'one');
});

test('a permit for an endpoint whose backoff began while the request waited is returned', async t => {
  // Guards against requests that were queued before the backoff was known.
  const {inner, acquire} = createPermits([ONE, TWO]);
  const first = await acquire();
  const waiting = acquire();
  first.release({outcome: 'failed', backoffMs: 1000});
  t.is(idOf(await waiting), 'two');
  t.deepEqual(inner.released, ['one failed', 'one cancelled']);
  t.deepEqual(
    inner.requests.map(({attempt}) => attempt as string),
    ['r.1', 'r.1', 'r.1+1'],
  );
});

test('a permit tells when the backoff of its endpoint has begun', async t => {
  const {acquire} = createPermits([ONE, TWO]);
  const first = await acquire();
  const second = await acquire();
  t.true(second.mayStillSend?.());
  first.release({outcome: 'failed', backoffMs: 1000});
  t.false(second.mayStillSend?.());
});

test('with all endpoints in backoff a request is refused until the first is back', async t => {
  const {inner, clock, acquire} = createPermits([ONE, TWO]);
  const one = await acquire();
  one.release({outcome: 'failed', backoffMs: 3000});
  const two = await acquire();
  two.release({outcome: 'failed', backoffMs: 2000});
  two.release({outcome: 'failed', backoffMs: 1});
  clock.nowMs = 500;
  const error = await t.throwsAsync(acquire(), {instanceOf: RequestError});
  t.like(error.refusal, {
    code: 'no_endpoint',
    verdict: 'not_run',
    retryAfterMs: 1500,
  });
  t.is(inner.requests.length, 2);
});

test('an endpoint that restarted at another address is not in backoff', async t => {
  const endpoints = [{...ONE}];
  const {acquire} = createPermits(endpoints);
  const first = await acquire();
  first.release({outcome: 'failed', backoffMs: 60_000});
  endpoints[0].url = 'http://10.0.0.1:2';
  t.is(idOf(await acquire()), 'one');
});
