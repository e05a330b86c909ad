import type {CounterValue} from '@snipestage/agreement/usage_rows.js';
import test from 'ava';
import {applyChange, composeChanges} from './usage_copy.js';

function line(clientAccount: string, requests: number) {
  return {
    clientAccount,
    requestClass: 'counter',
    requests,
    promptTokens: 0,
    outputTokens: 0,
  };
}

const FIRST: CounterValue = {sequence: 2, lines: [line('a', 1), line('b', 1)]};
const SECOND: CounterValue = {sequence: 3, lines: [line('a', 2), line('b', 1)]};
const THIRD: CounterValue = {sequence: 4, lines: [line('a', 2), line('b', 2)]};

function changeOf(before: CounterValue | undefined, after: CounterValue) {
  const lastSent = new Map(before === undefined ? [] : [['k', before]]);
  return composeChanges(lastSent, [{key: 'k', value: after}])[0];
}

test('changes lead to the sender’s own counters', t => {
  const first = applyChange(undefined, changeOf(undefined, FIRST));
  t.deepEqual(first, FIRST);
  const change = changeOf(FIRST, SECOND);
  t.is(change.lines.length, 1);
  t.deepEqual(applyChange(first, change), SECOND);
});

test('a copy with a gap is not used', t => {
  // Guards against writing an incomplete copy, which would lower the counts in
  // the table and the bill. The gap arises when a message to the replica is
  // lost with its connection.
  t.is(applyChange(FIRST, changeOf(SECOND, THIRD)), undefined);
  t.deepEqual(applyChange(undefined, changeOf(undefined, THIRD)), THIRD);
});
