import type {Endpoint} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type CellId,
  type DataCentreId,
  type InstanceId,
  type ModelId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {chooseCell} from './cell_choice.js';
import {planCells, type Cell} from './cells.js';
import {makeEndpoint} from './test_fixtures.js';

const DATA_CENTRE = brandAs<DataCentreId>('akl-a');

function plan(endpointCount: number, instanceCount: number): Cell[] {
  const endpoints = Array.from(
    {length: endpointCount},
    (_, index): Endpoint => ({
      ...makeEndpoint(`repair-${index}`),
      dataCentre: DATA_CENTRE,
      url: 'http://127.0.0.1:1',
      serves: {kind: 'model', model: brandAs<ModelId>('repair')},
    }),
  );
  const instances = Array.from({length: instanceCount}, (_, index) =>
    brandAs<InstanceId>(`akl-a-${index}`),
  );
  return planCells({dataCentre: DATA_CENTRE, endpoints, instances});
}

function placesOf(cells: readonly Cell[]): Map<string, string> {
  return new Map(
    cells.flatMap(({id, endpoints}) =>
      endpoints.map((endpoint): [string, string] => [endpoint, id]),
    ),
  );
}

test('in a small data centre every instance uses every cell', t => {
  const cells = plan(8, 3);
  t.deepEqual(
    cells.map(({endpoints, instances}) => [endpoints.length, instances.length]),
    [
      [4, 3],
      [4, 3],
    ],
  );
});

test('in a large data centre each cell has few instances, evenly', t => {
  const cells = plan(100, 63);
  t.is(cells.length, 25);
  t.true(cells.every(({endpoints}) => endpoints.length === 4));
  const perCell = cells.map(({instances}) => instances.length);
  t.true(Math.max(...perCell) <= 11 && Math.min(...perCell) >= 7);
});

test('few endpoints change cells when one is removed', t => {
  const before = placesOf(plan(40, 9));
  const after = placesOf(plan(39, 9));
  const moved = [...after].filter(([id, cell]) => before.get(id) !== cell);
  t.true(moved.length <= 8, `${moved.length} of 39 moved`);
});

test('a lost owner is replaced and a live one keeps its cell', t => {
  const [cell] = plan(4, 3);
  const [others] = plan(4, 2);
  t.truthy(cell.owner);
  t.truthy(others.owner);
  const survives = others.instances.includes(cell.owner!);
  t.is(others.owner === cell.owner, survives);
});

test('a request goes to the shortest wait, then by its prefix', t => {
  const load = (cell: string, expectedWaitMs: number, freePermits: number) => ({
    cell: brandAs<CellId>(cell),
    expectedWaitMs,
    freePermits,
    waiting: 0,
  });
  const random = () => 0;
  t.is(chooseCell({loads: [], random}), undefined);
  const unequal = [load('a', 900, 2), load('b', 0, 0), load('c', 10, 1)];
  t.is(chooseCell({loads: unequal, random}), brandAs<CellId>('c'));
  const equal = ['a', 'b', 'c', 'd'].map(cell => load(cell, 0, 1));
  const chosen = [1, 2, 3].map(() =>
    chooseCell({loads: equal, prefixHash: 'manual', random}),
  );
  t.is(new Set(chosen).size, 1);
});
