import test from 'ava';
import {EngineDepartures} from './engine_departures.js';
import {makeEndpoint} from './test_support/fixtures.js';

test('a row that is read again does not postpone a departure', t => {
  // Guards against moves that are too late since the same row was read anew.
  const departures = new EngineDepartures();
  const leaving = makeEndpoint('a', {isLeaving: true, leavesInMs: 2700});
  t.is(departures.note(leaving, 1000)?.goesAtMs, 3700);
  t.is(departures.note(leaving, 2000)?.goesAtMs, 3700);
  const sooner = {...leaving, leavesInMs: 500};
  t.deepEqual(departures.note(sooner, 2000), {
    noticedAtMs: 1000,
    goesAtMs: 2500,
  });
  t.is(departures.find(leaving)?.goesAtMs, 2500);
});

test('an engine that started again is not leaving', t => {
  const departures = new EngineDepartures();
  departures.note(makeEndpoint('a', {isLeaving: true}), 1000);
  const restarted = makeEndpoint('a', {bornEpochMs: 2});
  t.is(departures.find(restarted), undefined);
  t.is(departures.note(restarted, 2000), undefined);
  t.is(departures.find(makeEndpoint('a')), undefined);
});

test('engines that are gone are forgotten', t => {
  const departures = new EngineDepartures();
  const leaving = makeEndpoint('a', {isLeaving: true});
  departures.note(leaving, 1000);
  departures.retain(new Set());
  t.is(departures.find(leaving), undefined);
});
