import test from 'ava';
import {AttemptRecord, type ProgressRecord} from './attempt_record.js';
import {AttemptTiming} from './attempt_timing.js';

const NO_PROGRESS: ProgressRecord = {
  path: undefined,
  forwarder: undefined,
  pathError: undefined,
  softwareVersion: undefined,
  ending: undefined,
  connectMs: undefined,
  headMs: undefined,
  answeredLoad: undefined,
};

test('a wait at an endpoint and a slow connection are told apart', t => {
  // Guards against log lines by which a request may have waited anywhere.
  let nowMs = 100;
  const timing = new AttemptTiming(() => nowMs);
  t.is(timing.connectMs, undefined);
  nowMs = 130;
  timing.noteConnected();
  t.is(timing.connectMs, 30);
  t.is(timing.headMs, undefined);
  nowMs = 2130;
  timing.noteHead();
  t.is(timing.connectMs, 30);
  t.is(timing.headMs, 2000);
});

test('the load by which an endpoint was chosen stands beside its own', t => {
  // Guards against log lines that show outdated loads as the true ones.
  const record = new AttemptRecord();
  record.noteChoice({load: 2.4, loadAgeMs: 1900.2, group: undefined});
  record.noteProgress({
    ...NO_PROGRESS,
    answeredLoad: {running: 64, waiting: 30, capacity: 64},
  });
  const {load, loadAgeMs, answeredRunning, answeredWaiting} = record.describe();
  t.deepEqual(
    {load, loadAgeMs, answeredRunning, answeredWaiting},
    {load: 2, loadAgeMs: 1900, answeredRunning: 64, answeredWaiting: 30},
  );
});

test('a path stays known when a later attempt opens no connection', t => {
  const record = new AttemptRecord();
  record.noteProgress({...NO_PROGRESS, path: 'direct'});
  record.noteProgress(NO_PROGRESS);
  t.is(record.describe().path, 'direct');
});
