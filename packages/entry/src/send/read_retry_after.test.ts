import test from 'ava';
import {MAX_BACKOFF_MS} from '@snipestage/types/backoff.js';
import {readRetryAfterMs} from './read_retry_after.js';

test('a refusal requests backoff in seconds or until a date', t => {
  t.is(readRetryAfterMs(503, '3'), 3000);
  t.is(readRetryAfterMs(503, '0.5'), 500);
  const inAMinute = new Date(Date.now() + 60_000).toUTCString();
  const backoffMs = readRetryAfterMs(503, inAMinute)!;
  t.true(backoffMs > 55_000 && backoffMs <= 60_000, String(backoffMs));
  t.is(readRetryAfterMs(503, 'Thu, 01 Jan 1970 00:00:00 GMT'), 0);
});

test('other answers and unreadable values request none', t => {
  t.is(readRetryAfterMs(200, '3'), undefined);
  t.is(readRetryAfterMs(503, undefined), undefined);
  for (const value of ['', ' ', '-1', 'soon', 'Infinity']) {
    t.is(readRetryAfterMs(503, value), undefined, value);
  }
});

test('no endpoint is left out for longer than an hour', t => {
  // Guards against one answer that excludes its endpoint until it restarts.
  t.is(readRetryAfterMs(503, '1e306'), MAX_BACKOFF_MS);
  t.is(readRetryAfterMs(503, 'Fri, 31 Dec 9999 23:59:59 GMT'), MAX_BACKOFF_MS);
});
