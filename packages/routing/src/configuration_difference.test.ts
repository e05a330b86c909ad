import test from 'ava';
import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import {compareConfigurations} from './configuration_difference.js';
import type {RouteId} from './route.js';
import {makeConfiguration, makeRoute} from './test_support/fixtures.js';

test('differences name the field by the id of its entry', t => {
  // Guards against a list that reports each entry after one that was moved.
  const other = makeRoute({id: brandAs<RouteId>('other')});
  const before = makeConfiguration({routes: [makeRoute(), other]});
  const changed = makeRoute({timeoutMs: 5000});
  const after = makeConfiguration({version: 2, routes: [other, changed]});
  t.deepEqual(compareConfigurations(before, after), [
    {path: 'routes.summary.timeoutMs', before: 6000, after: 5000},
  ]);
});

test('added and removed entries are differences', t => {
  const before = makeConfiguration();
  const after = makeConfiguration({routes: []});
  const [removed] = compareConfigurations(before, after);
  t.is(removed.path, 'routes.summary');
  t.is(removed.after, undefined);
  t.is(compareConfigurations(after, before)[0].before, undefined);
});

test('keys of client accounts are hidden', t => {
  // Guards against keys in the logs of a pipeline that runs the check.
  const accountsWith = (key: string) => [
    {id: brandAs<ClientAccountId>('shop'), keys: [key], tier: undefined},
  ];
  const differences = compareConfigurations(
    makeConfiguration({clientAccounts: accountsWith('secret-1')}),
    makeConfiguration({clientAccounts: accountsWith('secret-2')}),
  );
  t.is(differences.length, 1);
  t.false(JSON.stringify(differences).includes('secret'));
});
