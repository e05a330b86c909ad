import test from 'ava';
import {CatchUpGate} from './catch_up_gate.js';

/** A gate whose event loop and timers a test drives. */
function startGate() {
  const loop = {isBehind: true, hasBacklog: false};
  let due: Array<() => void> = [];
  const gate = new CatchUpGate({
    isBehind: () => loop.isBehind,
    maxHeldMs: 50,
    hasBacklog: () => loop.hasBacklog,
    maxBacklogHeldMs: 200,
    later: callback => due.push(callback),
  });
  const check = async () => {
    const callbacks = due;
    due = [];
    for (const callback of callbacks) callback();
    await new Promise(done => setImmediate(done));
  };
  const passed: string[] = [];
  const pass = (name: string, urgencyRank: number) =>
    void gate.pass(urgencyRank).then(() => passed.push(name));
  return {loop, gate, check, pass, passed};
}

test('requests pass at once while the loop isn’t behind', async t => {
  const {loop, check, pass, passed} = startGate();
  loop.isBehind = false;
  pass('one', 7);
  await check();
  t.deepEqual(passed, ['one']);
});

test('after a standstill the most urgent requests go first', async t => {
  // Guards against urgent callers who leave while less urgent requests, which
  // came over earlier connections, are sent first.
  const {loop, check, pass, passed} = startGate();
  pass('quote', 6);
  pass('answer', 0);
  pass('summary', 3);
  pass('second answer', 0);
  await check();
  t.deepEqual(passed, []);
  loop.isBehind = false;
  await check();
  t.deepEqual(passed, ['answer', 'second answer', 'summary', 'quote']);
});

test('requests pass as soon as the loop is known to have caught up', async t => {
  // Guards against a delay for each burst of connections, however short.
  const {loop, gate, pass, passed} = startGate();
  pass('one', 0);
  gate.recheck();
  await new Promise(done => setImmediate(done));
  t.deepEqual(passed, []);
  loop.isBehind = false;
  gate.recheck();
  await new Promise(done => setImmediate(done));
  t.deepEqual(passed, ['one']);
});

test('a loop that stays behind holds requests for a bounded time', async t => {
  // Guards against requests that wait without end at an overloaded instance.
  const {check, pass, passed} = startGate();
  pass('one', 0);
  for (let count = 0; count < 10; count += 1) await check();
  t.deepEqual(passed, ['one']);
  pass('next', 0);
  await check();
  t.deepEqual(passed, ['one'], 'and each batch for that time');
});

test('requests are held longer while connections wait to be accepted', async t => {
  // Guards against work for some callers that keeps others from being accepted.
  const {loop, check, pass, passed} = startGate();
  loop.isBehind = false;
  loop.hasBacklog = true;
  pass('one', 0);
  for (let count = 0; count < 39; count += 1) await check();
  t.deepEqual(passed, []);
  await check();
  t.deepEqual(passed, ['one']);
});
