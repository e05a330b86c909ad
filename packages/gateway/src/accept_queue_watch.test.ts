import test from 'ava';
import {AcceptQueueWatch} from './accept_queue_watch.js';

function createWatch(maxWaiting?: number) {
  let timesEmpty = 0;
  let nowMs = 0;
  let afterPoll: () => void = () => undefined;
  const watch = new AcceptQueueWatch({
    nowMs: () => nowMs,
    maxWaiting,
    onEmpty: () => (timesEmpty += 1),
    afterPoll: callback => (afterPoll = callback),
  });
  return {
    watch,
    countTimesEmpty: () => timesEmpty,
    endTurn(tookMs: number) {
      nowMs += tookMs;
      const callback = afterPoll;
      afterPoll = () => undefined;
      callback();
    },
  };
}

test('a connection that waited behind others is known to have waited', t => {
  // Guards against time limits that count from when a busy instance gets round to
  // accepting a connection.
  const {watch, endTurn} = createWatch();
  t.is(watch.noteAccepted(), 0);
  endTurn(300);
  t.is(watch.noteAccepted(), 300);
  endTurn(200);
  t.is(watch.noteAccepted(), 500);
});

test('a turn without a new connection shows that none waits', t => {
  // Guards against requests of a busy but punctual instance that lose time.
  const {watch, endTurn} = createWatch();
  watch.noteAccepted();
  endTurn(300);
  endTurn(300);
  t.is(watch.noteAccepted(), 0);
});

test('a burst of connections is known until all are accepted', t => {
  // Guards against requests that are worked on while others wait to be read.
  const {watch, endTurn, countTimesEmpty} = createWatch();
  for (let count = 0; count < 4; count += 1) {
    t.false(watch.isBehind);
    watch.noteAccepted();
    endTurn(1);
  }
  t.true(watch.isBehind);
  t.is(countTimesEmpty(), 0);
  endTurn(1);
  t.false(watch.isBehind);
  t.is(countTimesEmpty(), 1);
});

test('in a flood that never ends a connection has waited behind one backlog at most', t => {
  // Guards against requests that are refused as overdue for as long as others
  // open connections.
  const {watch, endTurn} = createWatch(10);
  let waitedMs = 0;
  for (let count = 0; count < 1000; count += 1) {
    waitedMs = watch.noteAccepted();
    endTurn(5);
  }
  t.true(waitedMs >= 50 && waitedMs <= 60, `${waitedMs} ms`);
});
