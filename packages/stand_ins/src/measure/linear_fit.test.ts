import test from 'ava';
import {fitLine, meanOf} from './linear_fit.js';

test('fits the line on which all points lie; the mean of no values is 0', t => {
  const {intercept, slope} = fitLine([9, 20, 40], [28, 50, 90]);
  t.is(slope, 2);
  t.is(intercept, 10);
  t.is(meanOf([]), 0);
});
