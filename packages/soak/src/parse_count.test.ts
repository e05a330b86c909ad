import test from 'ava';
import {parseCount} from './parse_count.js';

test('whole numbers are read', t => {
  t.is(parseCount('0'), 0);
  t.is(parseCount('44606'), 44_606);
});

test('what is no whole number is refused', t => {
  // Guards against runs with a seed that is not the one typed.
  for (const text of ['44606b', '', ' ', '1.5', '-1', '1e3', 'NaN']) {
    t.throws(() => parseCount(text), {code: 'commander.invalidArgument'}, text);
  }
});
