import test from 'ava';
import {worseVerdict} from './verdict.js';

test('an attempt that may have run outweighs one that has not', t => {
  t.is(worseVerdict('not_run', 'may_have_run'), 'may_have_run');
  t.is(worseVerdict('ran', 'not_run'), 'ran');
});
