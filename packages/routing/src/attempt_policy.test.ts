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
  // The connection broke after the booking had left. The shop's customer would
  // be charged twice if it went to another endpoint.
  for (const verdict of ['may_have_run', 'ran'] as const) {
    t.is(fail({route: BOOKING, verdict}), 'give_up');
    t.is(fail({route: QUOTE, verdict}), 'give_up');
  }
});

test('what certainly has not run may go to another endpoint', t => {
  t.is(fail({route: BOOKING, verdict: 'not_run', runs: 0}), 'retry');
  t.is(fail({route: QUOTE, verdict: 'not_run', runs: 0}), 'retry');
});

test('what may be repeated goes on up to the attempts of its route', t => {
  t.is(fail({}), 'retry');
  t.is(fail({runs: 2}), 'give_up');
  t.is(fail({route: makeRoute()}), 'retry');
});

test('no endpoint left, no time left or enough offers end it', t => {
  t.is(fail({untried: 0}), 'give_up');
  t.is(fail({leftMs: 10}), 'give_up');
  t.is(fail({verdict: 'not_run', runs: 0, offers: 4}), 'give_up');
  t.is(fail({verdict: 'not_run', runs: 0, unreached: 12}), 'give_up');
});

test('what an endpoint turned away comes out of the budget', t => {
  // A third of the engines is replaced at once while the list lags. Each request
  // meets two or three that answer that they are others by now. Seen: these
  // didn't count, and engines got a quarter more than their callers had sent.
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

test('only what has not run is answered with the promise of it', t => {
  // A caller that reads 503 books again. If the first booking had run, that
  // would be the second.
  const why = {timedOut: false, retryAfterMs: 300};
  t.deepEqual(failureFor('not_run', why), {status: 503, retryAfterMs: 300});
  t.is(failureFor('may_have_run', why).status, 502);
  t.is(failureFor('ran', {...why, timedOut: true}).status, 504);
  t.is(failureFor('ran', why).retryAfterMs, undefined);
});
