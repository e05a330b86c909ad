import test from 'ava';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {WriteBatcher} from './write_batcher.js';

/** An in-memory platform that counts transactions. */
class CountedPlatform extends MemoryPlatform {
  transactions = 0;

  override transact(...args: Parameters<MemoryPlatform['transact']>) {
    this.transactions += 1;
    return super.transact(...args);
  }
}

function rowOf(name: string) {
  return {key: `usage/1/${name}`, value: {counts: {shop: 1}}};
}

test('rows added together are written in one transaction', async t => {
  const platform = new CountedPlatform();
  const batcher = new WriteBatcher(platform);
  const names = Array.from({length: 20}, (_, index) => `instance-${index}`);
  const results = names.map(name => batcher.add(rowOf(name), () => true));
  t.true((await Promise.all(results)).every(Boolean));
  t.is(platform.transactions, 1);
  t.is(platform.rows.size, 20);
});

test('no transaction has more rows than the store accepts', async t => {
  const platform = new CountedPlatform();
  const batcher = new WriteBatcher(platform);
  const names = Array.from({length: 100}, (_, index) => `instance-${index}`);
  await Promise.all(names.map(name => batcher.add(rowOf(name), () => true)));
  t.is(platform.transactions, 2);
});

test('a row is not written when its sender has given up', async t => {
  // The relay was frozen. Its follower has meanwhile written the row itself,
  // and a newer one, which the old value must not overwrite.
  const platform = new CountedPlatform();
  const batcher = new WriteBatcher(platform);
  let isWanted = true;
  void batcher.add(rowOf('gone'), () => isWanted);
  const kept = batcher.add(rowOf('kept'), () => true);
  isWanted = false;
  await kept;
  t.deepEqual([...platform.rows.keys()], ['usage/1/kept']);
});

test('a writer gets a failure when its row may be lost', async t => {
  const platform = new CountedPlatform();
  platform.nextFaults.push('lose_answer');
  const batcher = new WriteBatcher(platform);
  t.false(await batcher.add(rowOf('unsure'), () => true));
});
