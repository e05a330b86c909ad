import test from 'ava';
import {brandAs, type DataCentreId} from '@snipestage/types/ids.js';
import {preferLocal} from './local_engines.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {AKL_A, makeEndpoint} from './test_support/fixtures.js';

const AKL_B = brandAs<DataCentreId>('akl-b');

function makeEngines(dataCentre: DataCentreId, count: number) {
  return Array.from({length: count}, (_, index) =>
    makeEndpoint(`${dataCentre}-${index}`, {dataCentre}),
  );
}

const ENGINES = [...makeEngines(AKL_A, 6), ...makeEngines(AKL_B, 6)];

function prefer(
  loadAtA: number,
  engines: readonly ServingEndpoint[] = ENGINES,
): number {
  const loadOf = (each: ServingEndpoint) =>
    each.dataCentre === AKL_A ? loadAtA : 4;
  return preferLocal(engines, {dataCentre: AKL_A, loadOf}).length;
}

test('requests stay in their data centre while its engines have room', t => {
  // Guards against needless traffic between data centres.
  t.is(prefer(4), 6);
  t.is(prefer(5), 6);
});

test('requests of clients that move to one data centre use the engines of all', t => {
  // Guards against queues in one data centre beside idle engines in another.
  t.is(prefer(9), 12);
});

test('with few local engines all engines are candidates', t => {
  // Guards against a small data centre whose only engine gets everything.
  t.is(prefer(0, ENGINES.slice(4)), 8);
});
