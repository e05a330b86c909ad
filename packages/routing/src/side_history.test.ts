import test from 'ava';
import {SideHistory} from './side_history.js';
import {makeEndpoint} from './test_support/fixtures.js';

const [FIRST, SECOND, THIRD] = ['a', 'b', 'c'].map(id => makeEndpoint(id));

test('load pattern: an engine that changes sides comes last until its long prompts are done', t => {
  // Guards against streams that pause between the long prompts of an engine
  // that served them a moment ago.
  const sides = new SideHistory({settleMs: 2000});
  sides.noteLong([FIRST, THIRD], 1000);
  const {ordered, settled} = sides.order([FIRST, SECOND], 1500);
  t.deepEqual(ordered, [SECOND, FIRST]);
  t.is(settled, 1);
  t.is(sides.order([FIRST, SECOND], 3000).settled, 2);
});

test('engines that are gone are forgotten', t => {
  // Guards against memory that grows with each engine that boots.
  const sides = new SideHistory();
  sides.noteLong([FIRST, SECOND], 1000);
  sides.retain(new Set([SECOND.id]));
  t.deepEqual(sides.order([FIRST, SECOND], 1000).ordered, [FIRST, SECOND]);
});
