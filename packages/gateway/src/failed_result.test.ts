import test from 'ava';
import {failedWithBrokenAnswer, failedWithoutHead} from './failed_result.js';

const BROKEN = {
  hasPathBroken: false,
  wasSilent: false,
  isSilent: false,
  isCancelled: false,
  isLate: false,
};

test('a call that this side ended says nothing of its endpoint', t => {
  // Guards against healthy endpoints that are avoided as their callers left.
  for (const reason of ['cancelled', 'withheld', 'isolated'] as const) {
    const end = {reason, verdict: 'not_run', wasSilent: false} as const;
    t.is(failedWithoutHead(end).endpointOutcome, undefined);
  }
  const left = failedWithBrokenAnswer({...BROKEN, isCancelled: true});
  t.like(left, {endpointOutcome: undefined, reason: 'cancelled'});
});

test('an endpoint that was given up for its silence is silent only if it was reached', t => {
  const end = {reason: 'cancelled', wasSilent: true} as const;
  t.like(failedWithoutHead({...end, verdict: 'may_have_run'}), {
    endpointOutcome: 'silent',
    hasArrived: true,
  });
  t.like(failedWithoutHead({...end, verdict: 'not_run'}), {
    endpointOutcome: 'unreachable',
    hasArrived: false,
  });
});

test('a broken answer is its endpoint’s unless the path to it broke', t => {
  t.like(failedWithBrokenAnswer(BROKEN), {
    endpointOutcome: 'failed',
    connectionBroke: true,
  });
  const path = failedWithBrokenAnswer({...BROKEN, hasPathBroken: true});
  t.is(path.endpointOutcome, undefined);
  const late = failedWithBrokenAnswer({
    ...BROKEN,
    isCancelled: true,
    isLate: true,
  });
  t.like(late, {endpointOutcome: 'failed', connectionBroke: false});
});
