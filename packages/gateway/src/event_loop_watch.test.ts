import test from 'ava';
import {EventLoopWatch} from './event_loop_watch.js';

/** A watch whose clock, idle time and timers a test drives. */
function startWatch() {
  const clock = {nowMs: 0, idleMs: 0};
  let waiting: Array<() => void> = [];
  const watch = new EventLoopWatch({
    nowMs: () => clock.nowMs,
    readIdleMs: () => clock.idleMs,
    later: callback => waiting.push(callback),
  });
  const check = () => {
    const callbacks = waiting;
    waiting = [];
    for (const callback of callbacks) callback();
  };
  const tickAt = (atMs: number) => {
    clock.nowMs = atMs;
    watch.tick();
  };
  return {watch, clock, check, tickAt};
}

test('what is read while the loop runs has just come', t => {
  const {watch, clock, tickAt} = startWatch();
  for (const atMs of [100, 205, 330]) tickAt(atMs);
  clock.nowMs = 400;
  t.is(watch.earliestArrivalMs(), 400);
});

test('what is read after a standstill may have come at its beginning', t => {
  // Guards against handing on time that a caller doesn't have any more: requests
  // on new connections are read one by one, in many turns of the loop.
  const {watch, clock, check, tickAt} = startWatch();
  tickAt(100);
  tickAt(1300);
  for (const nowMs of [1300, 1340, 1380]) {
    clock.nowMs = nowMs;
    check();
    t.is(watch.earliestArrivalMs(), 100);
  }
  clock.idleMs += 1;
  check();
  t.is(watch.earliestArrivalMs(), 1380);
});

test('a loop that never waits counts what it reads as new after a while', t => {
  // Guards against refusing every request of an overloaded instance as too old.
  const {watch, clock, check, tickAt} = startWatch();
  tickAt(100);
  tickAt(1300);
  clock.nowMs = 1800;
  check();
  watch.tick();
  t.not(watch.earliestArrivalMs(), 100);
});

test('a standstill is known before the timer fires', t => {
  // Guards against sockets that are read first when a process is thawed.
  const {watch, clock, tickAt} = startWatch();
  tickAt(100);
  clock.nowMs = 1300;
  t.is(watch.earliestArrivalMs(), 100);
});

test('a second standstill doesn’t hide the first', t => {
  // Guards against counting from the second what the first had held up: reading
  // all that waits takes time itself.
  const {watch, clock, check, tickAt} = startWatch();
  tickAt(100);
  tickAt(1300);
  check();
  tickAt(1600);
  t.is(watch.earliestArrivalMs(), 100);
  clock.idleMs += 1;
  check();
  t.is(watch.earliestArrivalMs(), 1600);
});
