import test from 'ava';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {readLoadReport, toLoadReport} from './load_report.js';

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
