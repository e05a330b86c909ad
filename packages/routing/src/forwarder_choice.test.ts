import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  ForwarderChoice,
  type Forwarder,
  type ForwarderAddress,
} from './forwarder_choice.js';

const OWN = brandAs<DataCentreId>('akl-a');
const REMOTE = brandAs<DataCentreId>('akl-b');

function forwarder(name: string, dataCentre: DataCentreId): Forwarder {
  const instance = brandAs<InstanceId>(name);
  const address = brandAs<ForwarderAddress>(`${name}:1`);
  return {instance, dataCentre, address};
}

const NEAR = forwarder('near', OWN);
const FAR = forwarder('far', REMOTE);

function choiceOf(...forwarders: Forwarder[]): ForwarderChoice {
  const choice = new ForwarderChoice({dataCentre: OWN, random: () => 0.5});
  choice.learn(forwarders);
  return choice;
}

test('a forwarder of the own data centre goes first', t => {
  const choice = choiceOf(FAR, NEAR);
  t.is(choice.choose(new Set(), 0), NEAR);
  t.is(choice.choose(new Set([NEAR.instance]), 0), FAR);
  t.is(choice.choose(new Set([NEAR.instance, FAR.instance]), 0), undefined);
});

test('a forwarder with many connections yields to one elsewhere', t => {
  // Guards against the only local forwarder getting the load of all the others.
  const choice = choiceOf(FAR, NEAR);
  for (let count = 0; count < 9; count += 1) choice.begin(NEAR);
  t.is(choice.choose(new Set(), 0), FAR);
  choice.end(NEAR);
  choice.end(NEAR);
  t.is(choice.choose(new Set(), 0), NEAR);
});

test('a forwarder that failed gets nothing until its pause is over', t => {
  // Guards against each request trying forwarders that are isolated as well.
  const choice = choiceOf(NEAR);
  choice.noteFailed(NEAR, 0);
  choice.noteFailed(NEAR, 10);
  t.is(choice.choose(new Set(), 249), undefined);
  t.is(choice.choose(new Set(), 250), NEAR);
  choice.noteFailed(NEAR, 250);
  t.is(choice.choose(new Set(), 749), undefined);
  choice.noteOpened(NEAR);
  t.is(choice.choose(new Set(), 749), NEAR);
});

test('a look goes through a paused forwarder rather than through none', t => {
  // Guards against whole answers that are cut off unseen, since all forwarders
  // have just failed for requests.
  const choice = choiceOf(NEAR, FAR);
  choice.noteFailed(NEAR, 0);
  t.is(choice.choose(new Set(), 1, true), FAR);
  choice.noteFailed(FAR, 0);
  t.is(choice.choose(new Set(), 1), undefined);
  t.is(choice.choose(new Set(), 1, true), NEAR);
});

test('after a failure in the own data centre, another one is tried next', t => {
  // Guards against trying one forwarder after the other in a data centre that
  // has lost its links as a whole.
  const next = forwarder('next', OWN);
  const choice = choiceOf(NEAR, next, FAR);
  t.is(choice.choose(new Set([NEAR.instance]), 0), FAR);
  t.is(choice.choose(new Set([NEAR.instance, FAR.instance]), 0), next);
});

test('a list that lacks forwarders doesn’t take them away', t => {
  // Guards against isolated instances that know no path after the store was set
  // back to a copy without the rows.
  const choice = choiceOf(NEAR, FAR);
  choice.noteFailed(NEAR, 0);
  choice.learn([NEAR]);
  t.is(choice.count, 2);
  t.is(choice.choose(new Set(), 0), FAR);
});
