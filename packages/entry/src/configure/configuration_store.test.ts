import {emptyConfiguration} from '@snipestage/configuration/configuration.js';
import {brandAs, type Revision} from '@snipestage/types/ids.js';
import test from 'ava';
import {ConfigurationStore} from './configuration_store.js';

test('an older configuration is never put in force', t => {
  // Guards against a withdrawn key becoming valid again: when one push
  // overtakes another, the older configuration arrives last.
  const store = new ConfigurationStore();
  const applied: number[] = [];
  store.onChange(({revision}) => applied.push(revision));
  const at = (revision: number) => ({
    ...emptyConfiguration(),
    revision: brandAs<Revision>(revision),
  });
  t.true(store.apply(at(2)));
  t.false(store.apply(at(1)));
  t.false(store.apply(at(2)));
  t.is(store.revision, brandAs<Revision>(2));
  t.deepEqual(applied, [2]);
});
