import test from 'ava';
import {
  decideTakeover,
  type TakeoverEvent,
  type TakeoverStep,
} from './takeover.js';

const ALONE = {isHedging: false, isSilent: true, isOver: false};
const HEDGING = {isHedging: true, isSilent: true, isOver: false};

function steps(state: typeof ALONE): Record<TakeoverEvent, TakeoverStep> {
  const events: readonly TakeoverEvent[] = [
    'silent',
    'progress',
    'failed',
    'answered',
    'accepted',
    'declined',
    'ended',
  ];
  const entries = events.map(event => [event, decideTakeover(event, state)]);
  return Object.fromEntries(entries) as Record<TakeoverEvent, TakeoverStep>;
}

test('a silent endpoint keeps its request until another one has begun it', t => {
  // Guards against giving up a stream for an endpoint that rejects it.
  t.is(decideTakeover('silent', ALONE), 'hedge');
  t.is(decideTakeover('declined', HEDGING), 'hedge');
  t.is(decideTakeover('accepted', HEDGING), 'hand_over');
});

test('only one attempt is hedged at a time', t => {
  // Guards against a request that waits in the queues of many endpoints.
  t.is(decideTakeover('silent', HEDGING), 'keep');
});

test('a hedged attempt ends when the silent endpoint goes on', t => {
  // Guards against two endpoints that work on one stream.
  t.is(decideTakeover('progress', HEDGING), 'withdraw');
  t.is(decideTakeover('answered', HEDGING), 'settle');
});

test('a rejection after the silence has ended begins no further attempt', t => {
  // Guards against retries for requests whose endpoints work again.
  t.is(decideTakeover('declined', {...HEDGING, isSilent: false}), 'keep');
});

test('a hedged attempt keeps a request that its endpoint has lost', t => {
  // Guards against a third run when the second one may be about to begin.
  t.is(decideTakeover('failed', HEDGING), 'promote');
  t.is(decideTakeover('failed', ALONE), 'settle');
});

test('without another endpoint, answers and events change nothing', t => {
  // Guards against steps towards an endpoint that has no attempt.
  const {progress, answered} = steps(ALONE);
  t.deepEqual({progress, answered}, {progress: 'keep', answered: 'settle'});
});

test('nothing begins or is handed over for a caller that has left', t => {
  // Guards against requests that are sent on although nobody waits for them.
  for (const state of [ALONE, HEDGING]) {
    const over = steps({...state, isOver: true});
    t.is(over.ended, 'cancel');
    for (const event of ['silent', 'progress', 'accepted', 'declined'] as const)
      t.is(over[event], 'keep');
  }
});
