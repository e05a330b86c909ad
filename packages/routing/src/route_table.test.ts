import test from 'ava';
import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import type {RouteId, RoutingConfiguration} from './route.js';
import {RouteTable} from './route_table.js';
import {makeConfiguration, makeRoute} from './test_support/fixtures.js';

function makeTable(changes: Partial<RoutingConfiguration> = {}): RouteTable {
  const route = (id: string, pathPrefix: string) =>
    makeRoute({id: brandAs<RouteId>(id), pathPrefix});
  return new RouteTable(
    makeConfiguration({
      routes: [route('root', '/'), route('a', '/a/'), route('ab', '/a/b/')],
      clientAccounts: [
        {id: brandAs<ClientAccountId>('shop'), keys: ['k'], tier: undefined},
      ],
      ...changes,
    }),
  );
}

test('the longest prefix that begins the path wins', t => {
  const table = makeTable();
  const find = (path: string): string | undefined =>
    table.findRoute('SHOP.example:80', path)?.id;
  t.is(find('/a/b/c'), 'ab');
  t.is(find('/a/bc'), 'a');
  t.is(find('/a/b?x=/a/b/c/'), 'a');
  t.is(find('/ab/'), 'root');
  t.is(table.findRoute('other.example', '/a/'), undefined);
});

test('a withdrawn key is unknown in the next version', t => {
  // Guards against use of a leaked key at the account's expense after the
  // operator has withdrawn it.
  t.like(makeTable().findAccount('k'), {id: 'shop'});
  t.is(makeTable({clientAccounts: []}).findAccount('k'), undefined);
  t.true(makeTable({clientAccounts: []}).needsKeys);
  t.false(makeTable({clientAccounts: undefined}).needsKeys);
});
