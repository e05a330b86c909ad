import test from 'ava';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {
  readLoadReport,
  readPaces,
  toLoadReport,
  withPaces,
} from './load_report.js';

const ENGINE = brandAs<EndpointId>('engine');

test('a reading keeps its age in transit', t => {
  const load = {running: 3, waiting: 1, capacity: 24};
  const report = toLoadReport([{endpoint: ENGINE, load, atMs: 700}], 1000);
  const {readings, malformed} = readLoadReport(
    JSON.parse(JSON.stringify(report)),
    50_000,
  );
  t.deepEqual(readings, [{endpoint: ENGINE, load, atMs: 49_700}]);
  t.is(malformed, 0);
});

test('malformed lines and reports are counted and yield no readings', t => {
  // Guards against a process that sends arbitrary data to the relay's port.
  const lines = [
    ['engine', -1, 0, 24, 5],
    ['engine', 1.5, 0, 24, 5],
    ['engine', 1, 0, 24, null],
    ['engine', 1, 0, 24],
    ['engine', 1, 0, 24, 5, -1],
    ['engine', 1, 0, 24, 5, 'x'],
    ['engine', 1, 0, 24, 5, 1, 1],
    [7, 1, 0, 24, 5],
    'engine',
    null,
  ];
  const read = readLoadReport({kind: 'loads', lines}, 0);
  t.deepEqual(read, {readings: [], malformed: lines.length});
  t.is(readLoadReport(undefined, 0).malformed, 1);
  t.is(readLoadReport({lines: 'many'}, 0).malformed, 1);
  const endless = Array.from({length: 5000}, () => ['engine', 1, 0, 24, 5]);
  t.deepEqual(readLoadReport({lines: endless}, 0), {
    readings: [],
    malformed: 1,
  });
});

test('paces travel beside the loads and keep their age', t => {
  const load = {running: 3, waiting: 1, capacity: 24};
  const loads = toLoadReport([{endpoint: ENGINE, load, atMs: 700}], 1000);
  const sample = {endpoint: ENGINE, paceMs: 13.651, atMs: 550};
  const report = withPaces(loads, [sample], 1000);
  const sent: unknown = JSON.parse(JSON.stringify(report));
  const read = readPaces(sent, 50_000);
  t.deepEqual(read, {samples: [{...sample, atMs: 49_550}], malformed: 0});
  // Guards against a change of the lines, which older versions would reject.
  t.is(readLoadReport(sent, 50_000).malformed, 0);
  t.is(readLoadReport(sent, 50_000).readings.length, 1);
  t.deepEqual(withPaces(loads, [], 1000), loads);
});

test('a report of an older version has no paces', t => {
  const report = {kind: 'loads', lines: [['engine', 1, 0, 24, 5]]};
  t.deepEqual(readPaces(report, 0), {samples: [], malformed: 0});
  t.is(readLoadReport(report, 0).readings.length, 1);
});

test('malformed paces are counted and leave the loads valid', t => {
  // Guards against a process that sends arbitrary data to the relay's port.
  const paces = [
    ['engine', 0, 5],
    ['engine', -1, 5],
    ['engine', 70_000, 5],
    ['engine', '13', 5],
    ['engine', null, 5],
    ['engine', 13, null],
    ['engine', 13],
    ['engine', 13, 5, 1],
    [7, 13, 5],
    'engine',
    null,
  ];
  const lines = [['engine', 1, 0, 24, 5]];
  const report = {kind: 'loads', lines, paces};
  t.deepEqual(readPaces(report, 0), {samples: [], malformed: paces.length});
  t.is(readLoadReport(report, 0).readings.length, 1);
  t.is(readPaces({lines, paces: 'many'}, 0).malformed, 1);
  const endless = Array.from({length: 5000}, () => ['engine', 13, 5]);
  t.deepEqual(readPaces({lines, paces: endless}, 0), {
    samples: [],
    malformed: 1,
  });
});
