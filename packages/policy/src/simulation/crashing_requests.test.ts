import test from 'ava';
import {simulateCrashingRequests} from './crashing_requests.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const MAX_LATE_RUNS = 3;
const TIMING = {
  repeatEveryMs: 350,
  confirmAfterMs: 150,
  publishAfterMs: 1500,
  endpoints: 18,
};

for (const instances of [1, 9, 65, 195]) {
  for (const requests of [1, 3]) {
    test(`${requests} requests that crash endpoints are stopped by ${instances} instances`, t => {
      // Guards against requests that take down one endpoint after the other
      // since each instance sees only some of the crashes, or since several
      // such requests are taken for the cause of each other's crashes.
      for (const seed of SEEDS) {
        const results = simulateCrashingRequests({
          ...TIMING,
          seed,
          instances,
          requests,
        });
        for (const {lateRuns} of results) {
          t.true(lateRuns <= MAX_LATE_RUNS, `${lateRuns} late runs`);
        }
      }
    });
  }
}
