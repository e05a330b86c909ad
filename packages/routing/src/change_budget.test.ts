import test from 'ava';
import {ChangeBudget} from './change_budget.js';

for (const inForceWithinMs of [500, 1000, 2000, 3000, 4000, 10_000]) {
  for (const factor of [0.4, 1, 1.4, 3]) {
    const knownWithinMs = Math.round(factor * inForceWithinMs);
    const targets = {knownWithinMs, inForceWithinMs};
    test(`the waits on each path of a change add up to its target at most (${inForceWithinMs}, ${knownWithinMs})`, t => {
      // Guards against changes in force too late though no single wait is.
      const paths = new ChangeBudget(targets).listPaths();
      t.true(paths.length >= 6);
      for (const {name, longestMs, targetMs} of paths) {
        t.true(longestMs <= targetMs, `${name}: ${longestMs} of ${targetMs}`);
      }
    });
  }
}

test('facts are known in the time in which changes have to be known', t => {
  // Guards against requests that crash endpoints and are known here seconds late.
  const targets = {knownWithinMs: 4000, inForceWithinMs: 3000};
  for (const path of new ChangeBudget(targets).forFacts().listPaths()) {
    t.true(path.longestMs <= 4000, `${path.name}: ${path.longestMs}`);
  }
});
