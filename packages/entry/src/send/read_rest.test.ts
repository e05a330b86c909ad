import test from 'ava';
import {readRestMs} from './read_rest.js';

test('a refusal asks for rest in seconds or until a date', t => {
  t.is(readRestMs(503, '3'), 3000);
  t.is(readRestMs(503, '0.5'), 500);
  const inAMinute = new Date(Date.now() + 60_000).toUTCString();
  const restMs = readRestMs(503, inAMinute)!;
  t.true(restMs > 55_000 && restMs <= 60_000, String(restMs));
  t.is(readRestMs(503, 'Thu, 01 Jan 1970 00:00:00 GMT'), 0);
});

test('other answers and unreadable values ask for none', t => {
  t.is(readRestMs(200, '3'), undefined);
  t.is(readRestMs(503, undefined), undefined);
  for (const value of ['', ' ', '-1', 'soon', 'Infinity']) {
    t.is(readRestMs(503, value), undefined, value);
  }
});
