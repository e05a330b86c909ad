import test from 'ava';
import {
  composeStoreVersion,
  eraOf,
  isOlderVersion,
  MAX_ERA,
  numberOf,
} from './store_version.js';

test('versions of the last era are exact', t => {
  // Guards against versions that the store has never given out.
  const last = composeStoreVersion({era: MAX_ERA, number: 2 ** 40 - 1});
  const previous = composeStoreVersion({era: MAX_ERA, number: 2 ** 40 - 2});
  t.true(Number.isSafeInteger(last));
  t.true(isOlderVersion(previous, last));
  t.is(eraOf(last), MAX_ERA);
  t.is(numberOf(previous), 2 ** 40 - 2);
});
