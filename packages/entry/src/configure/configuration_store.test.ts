import {emptyConfiguration} from '@snipestage/configuration/configuration.js';
import {brandAs, type Revision} from '@snipestage/types/ids.js';
import test from 'ava';
import {ConfigurationStore} from './configuration_store.js';

test('an older configuration is never put in force', t => {
  // A push overtakes another on its way. Put in force late, the older one would
  // bring a withdrawn key back.
  const store = new ConfigurationStore();
  const told: number[] = [];
  store.onChange(({revision}) => told.push(revision));
  const at = (revision: number) => ({
    ...emptyConfiguration(),
    revision: brandAs<Revision>(revision),
  });
  t.true(store.apply(at(2)));
  t.false(store.apply(at(1)));
  t.false(store.apply(at(2)));
  t.is(store.revision, brandAs<Revision>(2));
  t.deepEqual(told, [2]);
});
