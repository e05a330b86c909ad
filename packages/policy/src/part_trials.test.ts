import {brandAs, type PromptPartId} from '@snipestage/types/ids.js';
import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import test from 'ava';
import {PartTrials} from './part_trials.js';

const BAD = brandAs<PromptPartId>('bad');
const OTHER = brandAs<PromptPartId>('other');

function counted(count: number, version: number) {
  return {part: BAD, count, rowVersion: brandAs<StoreVersion>(version)};
}

test('trials of a part become rarer and end', t => {
  // Guards against trials that cost one endpoint after the other.
  const trials = new PartTrials();
  t.is(trials.waitMs([BAD], 0), 0);
  t.deepEqual(trials.readCount(BAD), {
    part: BAD,
    count: 0,
    rowVersion: ABSENT,
  });
  trials.learn(counted(1, 5), 100);
  t.is(trials.waitMs([BAD], 1100), 4000);
  t.is(trials.waitMs([BAD, OTHER], 5100), 0);
  trials.learn(counted(2, 6), 5100);
  t.is(trials.waitMs([BAD], 5100), 30_000);
  trials.learn(counted(3, 7), 35_100);
  t.is(trials.waitMs([BAD], 10_000_000), undefined);
});

test('an older count replaces no newer one', t => {
  // Guards against a trial that is made again since a row is read late.
  const trials = new PartTrials();
  trials.learn(counted(2, 6), 0);
  trials.learn(counted(1, 5), 10);
  t.is(trials.readCount(BAD).count, 2);
});

test('a trial that passed lets trials count from the first again', t => {
  // Guards against parts that run out of trials over many losses of endpoints.
  const trials = new PartTrials();
  trials.learn(counted(3, 6), 0);
  trials.learn(counted(0, 7), 10);
  t.is(trials.waitMs([BAD], 10), 0);
  t.is(trials.readCount(BAD).rowVersion, brandAs<StoreVersion>(7));
});
