import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ModelId,
  type RegionId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  findDepartures,
  scheduleDepartures,
} from './endpoint_plan_departures.js';
import {
  DEFAULT_PLAN_OPTIONS,
  type ObservedEndpoint,
} from './endpoint_plan_input.js';

const OPTIONS = {...DEFAULT_PLAN_OPTIONS, replaceMs: 20, drainMs: 10};
const IDS = ['a', 'b', 'c'].map(id => brandAs<DataCentreId>(id));
const SCHEDULE = scheduleDepartures(
  IDS.map(id => ({
    id,
    region: brandAs<RegionId>('r'),
    reachable: true,
    leaveByEpochMs: 1000,
  })),
  OPTIONS,
);

function endpointIn(dataCentre: DataCentreId): ObservedEndpoint {
  return {
    id: brandAs<EndpointId>(`${dataCentre}-1`),
    dataCentre,
    model: brandAs<ModelId>('report'),
    kind: 'regular',
    state: 'live',
    running: 0,
  };
}

test('moves with the same date are scheduled one after another', t => {
  t.deepEqual(
    SCHEDULE.map(each => [each.dataCentre as string, each.beginEpochMs]),
    [
      ['a', 910],
      ['b', 940],
      ['c', 970],
    ],
  );
});

// The first move takes longer than planned. If the next one started regardless,
// two data centres would be half empty at once.
test('a move waits for the previous one, but not past its latest start', t => {
  const begunAt = (nowEpochMs: number, present: readonly DataCentreId[]) =>
    findDepartures(SCHEDULE, present.map(endpointIn), nowEpochMs, OPTIONS).map(
      each => each.dataCentre as string,
    );
  t.deepEqual(begunAt(909, IDS), []);
  t.deepEqual(begunAt(950, IDS), ['a']);
  t.deepEqual(begunAt(950, IDS.slice(1)), ['a', 'b']);
  t.deepEqual(begunAt(970, IDS), ['a', 'b', 'c']);
});
