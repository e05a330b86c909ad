import test from 'ava';
import {
  decideAfterFailure,
  failureFor,
  type FailedAttempt,
} from './attempt_policy.js';
import {makeRoute} from './test_support/fixtures.js';

const BOOKING = makeRoute({
  kind: 'non_idempotent',
  isResumable: false,
  maxAttempts: 1,
});
const QUOTE = makeRoute({isResumable: false, maxAttempts: 1});
const LOOKUP = makeRoute({kind: 'idempotent', maxAttempts: 2});

function fail(changes: Partial<FailedAttempt>): string {
  return decideAfterFailure(makeFailed(changes)).kind;
}

function makeFailed(changes: Partial<FailedAttempt>): FailedAttempt {
  return {
    route: LOOKUP,
    verdict: 'may_have_run',
    runs: 1,
    offers: 1,
    unreached: 0,
    deliveredEvents: 0,
    leftMs: 1000,
    untried: 2,
    hasArrived: true,
    ...changes,
  };
}

test('a booking whose outcome is unknown is never sent again', t => {
  // Guards against charging a customer twice: the connection breaks after the
  // booking was sent, and a retry at another endpoint runs it again.
  for (const verdict of ['may_have_run', 'ran'] as const) {
    t.is(fail({route: BOOKING, verdict}), 'give_up');
    t.is(fail({route: QUOTE, verdict}), 'give_up');
  }
});

test('a request that certainly has not run may go to another endpoint', t => {
  t.is(fail({route: BOOKING, verdict: 'not_run', runs: 0}), 'retry');
  t.is(fail({route: QUOTE, verdict: 'not_run', runs: 0}), 'retry');
});

test('a repeatable request is retried up to the attempts of its route', t => {
  t.is(fail({}), 'retry');
  t.is(fail({runs: 2}), 'give_up');
  t.is(fail({route: makeRoute()}), 'retry');
});

test('a request is given up without endpoints, without time or after too many offers', t => {
  t.is(fail({untried: 0}), 'give_up');
  t.is(fail({leftMs: 10}), 'give_up');
  t.is(fail({verdict: 'not_run', runs: 0, offers: 4}), 'give_up');
  t.is(fail({verdict: 'not_run', runs: 0, unreached: 12}), 'give_up');
});

test('a retry after a rejection is charged to the budget', t => {
  // Guards against engines that get a quarter more requests than callers sent:
  // a third of them is replaced at once while the list lags, each request meets
  // two or three new ones that reject it, and these retries were outside the
  // budget.
  const turnedAway = makeFailed({verdict: 'not_run', runs: 0});
  t.deepEqual(decideAfterFailure(turnedAway), {
    kind: 'retry',
    needsBudget: true,
  });
  t.deepEqual(decideAfterFailure({...turnedAway, hasArrived: false}), {
    kind: 'retry',
    needsBudget: false,
  });
});

test('only a request that has not run is answered with 503', t => {
  // Guards against double bookings: a caller that gets 503 books again.
  const why = {timedOut: false, retryAfterMs: 300};
  t.deepEqual(failureFor('not_run', why), {status: 503, retryAfterMs: 300});
  t.is(failureFor('may_have_run', why).status, 502);
  t.is(failureFor('ran', {...why, timedOut: true}).status, 504);
  t.is(failureFor('ran', why).retryAfterMs, undefined);
});
