import test from 'ava';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {WriteGatherer} from './write_gatherer.js';

/** Counts the transactions of a platform in memory. */
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

test('rows that come together are one transaction', async t => {
  const platform = new CountedPlatform();
  const gatherer = new WriteGatherer(platform);
  const names = Array.from({length: 20}, (_, index) => `instance-${index}`);
  const results = names.map(name => gatherer.add(rowOf(name), () => true));
  t.true((await Promise.all(results)).every(Boolean));
  t.is(platform.transactions, 1);
  t.is(platform.rows.size, 20);
});

test('no transaction has more rows than the store takes', async t => {
  const platform = new CountedPlatform();
  const gatherer = new WriteGatherer(platform);
  const names = Array.from({length: 100}, (_, index) => `instance-${index}`);
  await Promise.all(names.map(name => gatherer.add(rowOf(name), () => true)));
  t.is(platform.transactions, 2);
});

test('a row whose sender has given up is not written', async t => {
  // The relay was frozen. Its follower has written the row by itself meanwhile,
  // and a newer one: the old figure must not come back over it.
  const platform = new CountedPlatform();
  const gatherer = new WriteGatherer(platform);
  let isWanted = true;
  void gatherer.add(rowOf('gone'), () => isWanted);
  const kept = gatherer.add(rowOf('kept'), () => true);
  isWanted = false;
  await kept;
  t.deepEqual([...platform.rows.keys()], ['usage/1/kept']);
});

test('a writer whose row may be lost gets a failure', async t => {
  const platform = new CountedPlatform();
  platform.losses.push('lose_answer');
  const gatherer = new WriteGatherer(platform);
  t.false(await gatherer.add(rowOf('unsure'), () => true));
});
