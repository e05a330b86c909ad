import test from 'ava';
import {AcceptQueueWatch} from './accept_queue_watch.js';

function createWatch() {
  let nowMs = 0;
  let afterPoll: () => void = () => undefined;
  const watch = new AcceptQueueWatch({
    nowMs: () => nowMs,
    afterPoll: callback => (afterPoll = callback),
  });
  return {
    watch,
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
