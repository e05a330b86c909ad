import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {OverdueWatch} from './overdue_watch.js';

const LIMIT_MS = 20;
const AFTER_LIMIT_MS = 60;

function watch(isBehind: boolean) {
  const calls: string[] = [];
  const overdue = new OverdueWatch({
    limitMs: LIMIT_MS,
    isBehind: () => isBehind,
    onOverdue: () => calls.push('overdue'),
  });
  overdue.start();
  return {overdue, calls};
}

test('a wait that is too long is noticed once', async t => {
  const {calls} = watch(false);
  await sleep(AFTER_LIMIT_MS);
  t.deepEqual(calls, ['overdue']);
});

test('an answer in time isn’t overdue', async t => {
  const {overdue, calls} = watch(false);
  overdue.stop();
  await sleep(AFTER_LIMIT_MS);
  t.deepEqual(calls, []);
});

test('an instance that stood still blames no endpoint', async t => {
  // Guards against engines that count as full everywhere as one instance was
  // frozen and has not read their answers yet.
  const {calls} = watch(true);
  await sleep(AFTER_LIMIT_MS);
  t.deepEqual(calls, []);
});
