import type {Platform} from '@snipestage/platform/platform.js';
import type {TableTransaction} from '@snipestage/types/table.js';
import test from 'ava';
import {ClaimCleanupTask} from './claim_cleanup_task.js';

test('only expired claims are deleted, and only in the version that was read', async t => {
  const transactions: TableTransaction[] = [];
  const prefixes: string[] = [];
  const rows = [
    {key: 'claims/00/old', version: 4, value: {expiresAtEpochMs: 1000}},
    {key: 'claims/00/new', version: 2, value: {expiresAtEpochMs: 3000}},
  ];
  const platform = {
    scanRows: async (prefix: string) => {
      prefixes.push(prefix);
      return {kind: 'rows', rows};
    },
    transact: async (transaction: TableTransaction) => {
      transactions.push(transaction);
      return {kind: 'committed', versions: {}};
    },
  } as unknown as Platform;
  let inCharge = false;
  const task = new ClaimCleanupTask({
    platform,
    holdsLease: () => inCharge,
    nowEpochMs: () => 2000,
  });
  await task.cleanNext();
  t.deepEqual(prefixes, []);
  inCharge = true;
  await task.cleanNext();
  t.deepEqual(prefixes, ['claims/00/']);
  t.deepEqual(transactions, [
    {
      checks: [{key: 'claims/00/old', version: 4}],
      writes: [{key: 'claims/00/old', value: null}],
    },
  ]);
});
