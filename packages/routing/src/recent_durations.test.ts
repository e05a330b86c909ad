import test from 'ava';
import {brandAs} from '@snipestage/types/ids.js';
import type {RouteId} from './route.js';
import {RecentDurations} from './recent_durations.js';

const QUOTES = brandAs<RouteId>('quotes');

test('the 90th percentile of the latest durations is returned', t => {
  const durations = new RecentDurations();
  for (let count = 0; count < 200; count += 1) durations.note(QUOTES, 9000);
  for (let ms = 1; ms <= 64; ms += 1) durations.note(QUOTES, ms);
  t.is(durations.p90Ms(QUOTES), 58);
});

test('too few durations give no percentile, and routes that are gone are forgotten', t => {
  const durations = new RecentDurations();
  for (let count = 0; count < 9; count += 1) durations.note(QUOTES, 100);
  t.is(durations.p90Ms(QUOTES), undefined);
  durations.note(QUOTES, 100);
  t.is(durations.p90Ms(QUOTES), 100);
  durations.retain(new Set());
  t.is(durations.p90Ms(QUOTES), undefined);
});
