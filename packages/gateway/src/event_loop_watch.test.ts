import test from 'ava';
import {EventLoopWatch} from './event_loop_watch.js';

/** A watch whose clock and turns of the event loop a test drives. */
function startWatch() {
  const clock = {nowMs: 0};
  let waiting: Array<() => void> = [];
  const watch = new EventLoopWatch({
    nowMs: () => clock.nowMs,
    afterTurn: callback => waiting.push(callback),
  });
  const endTurn = () => {
    const callbacks = waiting;
    waiting = [];
    for (const callback of callbacks) callback();
  };
  const tickAt = (atMs: number) => {
    clock.nowMs = atMs;
    watch.tick();
  };
  return {watch, clock, endTurn, tickAt};
}

test('what is read while the loop runs has just come', t => {
  const {watch, clock, tickAt} = startWatch();
  for (const atMs of [100, 205, 330]) tickAt(atMs);
  clock.nowMs = 400;
  t.is(watch.earliestArrivalMs(), 400);
});

test('what is read after a standstill may have come at its beginning', t => {
  // Guards against handing on time that a caller doesn't have any more.
  const {watch, clock, endTurn, tickAt} = startWatch();
  tickAt(100);
  tickAt(1300);
  t.is(watch.earliestArrivalMs(), 100);
  endTurn();
  clock.nowMs = 1310;
  // Read on a connection that was accepted in the turn before.
  t.is(watch.earliestArrivalMs(), 100);
  endTurn();
  clock.nowMs = 1320;
  t.is(watch.earliestArrivalMs(), 1320);
});

test('a standstill is known before the timer fires', t => {
  // Guards against sockets that are read first when a process is thawed.
  const {watch, clock, tickAt} = startWatch();
  tickAt(100);
  clock.nowMs = 1300;
  t.is(watch.earliestArrivalMs(), 100);
});

test('a long turn after a standstill doesn’t shorten it', t => {
  // Guards against counting from the second of two standstills what the first
  // had held up: reading all that waits takes time itself.
  const {watch, clock, endTurn, tickAt} = startWatch();
  tickAt(100);
  tickAt(1300);
  endTurn();
  tickAt(1600);
  t.is(watch.earliestArrivalMs(), 100);
  endTurn();
  clock.nowMs = 1610;
  t.is(watch.earliestArrivalMs(), 1300);
  endTurn();
  t.is(watch.earliestArrivalMs(), 1610);
});
