import test from 'ava';
import {fitLine, meanOf} from './linear_fit.js';

test('a line through points on a line is that line', t => {
  const {intercept, slope} = fitLine([9, 20, 40], [28, 50, 90]);
  t.is(slope, 2);
  t.is(intercept, 10);
  t.is(meanOf([]), 0);
});
