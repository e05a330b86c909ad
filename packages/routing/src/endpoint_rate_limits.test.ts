import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {EndpointRateLimits} from './endpoint_rate_limits.js';

const ENDPOINT = brandAs<EndpointId>('rate-limited');
const SPAN_MS = 4000;

/** Tolerated in {@link SPAN_MS}: 1.5 times the limit, and five requests. */
function mostInSpan(rateLimitPerS: number): number {
  return 1.5 * rateLimitPerS * (SPAN_MS / 1000) + 5;
}

interface Simulated {
  readonly rateLimitPerS: number;
  /** Number of instances as each instance has counted them. */
  readonly counted: readonly number[];
  readonly seed: number;
}

/** Times at which the endpoint gets requests while all instances want it. */
function simulate({
  rateLimitPerS,
  counted,
  seed,
}: Simulated): readonly number[] {
  const random = createSeededRandom(seed);
  const instances = counted.map(count => {
    const limits = new EndpointRateLimits({readInstances: () => count, random});
    limits.note(ENDPOINT, rateLimitPerS, 0);
    return limits;
  });
  const arrivals: number[] = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
    for (const limits of instances) {
      if (!limits.mayAdmit(ENDPOINT, nowMs)) continue;
      limits.noteSent(ENDPOINT, nowMs);
      arrivals.push(nowMs);
    }
  }
  return arrivals;
}

function mostInAnySpan(arrivals: readonly number[]): number {
  let first = 0;
  let most = 0;
  arrivals.forEach((atMs, index) => {
    while (arrivals[first] <= atMs - SPAN_MS) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

function sameCount(instances: number, counted = instances): readonly number[] {
  return Array.from({length: instances}, () => counted);
}

for (const instances of [1, 9, 66, 195]) {
  test(`load pattern: ${instances} instances want one rate-limited endpoint`, t => {
    // Guards against an overloaded endpoint that gets more than its limit.
    for (const rateLimitPerS of [0.25, 1, 5, 20]) {
      for (let seed = 1; seed <= 5; seed++) {
        const counted = sameCount(instances);
        const arrivals = simulate({rateLimitPerS, counted, seed});
        const most = mostInAnySpan(arrivals);
        t.true(most <= mostInSpan(rateLimitPerS), `${rateLimitPerS}: ${most}`);
        t.true(arrivals.length > 0, 'the endpoint is used at all');
      }
    }
  });
}

test('load pattern: three quarters more instances than were counted', t => {
  // Guards against excess requests of instances that started after the count.
  for (const [instances, counted] of [
    [16, 9],
    [114, 65],
  ]) {
    for (let seed = 1; seed <= 5; seed++) {
      const each = sameCount(instances, counted);
      const arrivals = simulate({rateLimitPerS: 1, counted: each, seed});
      t.true(mostInAnySpan(arrivals) <= mostInSpan(1), `seed ${seed}`);
    }
  }
});

test('load pattern: a data centre is cut off and the others count without it', t => {
  // Guards against exceeding the limit when two sides of a partition use two
  // counts.
  const counted = [...sameCount(6), ...sameCount(3, 9)];
  for (let seed = 1; seed <= 5; seed++) {
    const arrivals = simulate({rateLimitPerS: 1, counted, seed});
    t.true(mostInAnySpan(arrivals) <= mostInSpan(1), `seed ${seed}`);
  }
});

test('a limit holds until an answer comes without one', t => {
  const limits = new EndpointRateLimits({
    readInstances: () => 9,
    random: () => 0,
  });
  t.true(limits.mayAdmit(ENDPOINT, 0));
  t.is(limits.note(ENDPOINT, 1, 0), 'announced');
  t.is(limits.note(ENDPOINT, 1, 10), undefined);
  t.false(limits.mayAdmit(ENDPOINT, 20));
  t.is(limits.note(ENDPOINT, 2, 30), 'changed');
  t.false(limits.mayAdmit(ENDPOINT, 40));
  t.is(limits.note(ENDPOINT, undefined, 50), 'lifted');
  t.true(limits.mayAdmit(ENDPOINT, 60));
});

test('an endpoint with the limit 0 still gets occasional requests', t => {
  // Guards against a limit whose end no instance notices.
  const arrivals = simulate({rateLimitPerS: 0, counted: sameCount(9), seed: 1});
  t.true(arrivals.length > 0);
  t.true(mostInAnySpan(arrivals) <= mostInSpan(0));
});

test('an instance that doesn’t know the number of instances sends few requests', t => {
  const limits = new EndpointRateLimits({
    readInstances: () => undefined,
    random: () => 0,
  });
  limits.note(ENDPOINT, 1, 0);
  t.false(limits.mayAdmit(ENDPOINT, 100_000));
  t.true(limits.mayAdmit(ENDPOINT, 200_000));
});

test('gone endpoints are forgotten', t => {
  const limits = new EndpointRateLimits({
    readInstances: () => 9,
    random: () => 0,
  });
  limits.note(ENDPOINT, 1, 0);
  limits.retain(new Set());
  t.true(limits.mayAdmit(ENDPOINT, 1));
});
