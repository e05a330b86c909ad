import {makeEndpoint} from '@snipestage/routing/test_support/fixtures.js';
import {composeStoreVersion} from '@snipestage/types/store_version.js';
import test from 'ava';
import {OutdatedRows} from './outdated_rows.js';

const ONE = makeEndpoint('one');

test('an outdated row counts once it is written again', t => {
  // Guards against an endpoint that has left and gets requests again, and
  // against one that is alive and gets none.
  const outdated = new OutdatedRows();
  const listed = (number: number) => [
    {endpoint: ONE, version: composeStoreVersion({era: 1, number})},
  ];
  t.deepEqual(outdated.dropFrom(listed(5)), [ONE]);
  outdated.replace(listed(5));
  t.deepEqual(outdated.dropFrom(listed(5)), []);
  t.deepEqual(outdated.dropFrom(listed(6)), [ONE]);
});
