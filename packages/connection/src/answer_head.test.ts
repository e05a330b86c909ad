import test from 'ava';
import {isWellFormedHead} from './answer_head.js';

test('a head that can not be written again is not well-formed', t => {
  // Guards against an exception when the head is forwarded, whether or not the
  // parser of this release of Node.js lets such a head through.
  const rawHeaders = ['X-Header', '1'];
  t.true(isWellFormedHead({statusCode: 200, rawHeaders}));
  for (const name of ['X Header', '', ' ', 'X\tHeader', 'X:Header']) {
    t.false(isWellFormedHead({statusCode: 200, rawHeaders: [name, '1']}), name);
  }
  for (const statusCode of [0, 99, 199, 1000]) {
    t.false(isWellFormedHead({statusCode, rawHeaders}), String(statusCode));
  }
});
