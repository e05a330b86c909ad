import test from 'ava';
import {BLOCK_TOKENS, PrefixCache} from './prefix_cache.js';

function promptOfBlocks(name: string, blocks: number): string {
  return Array.from(
    {length: blocks * BLOCK_TOKENS},
    (_, at) => `${name}${at}`,
  ).join(' ');
}

test('a prefix is cached until memory is needed for others', t => {
  const cache = new PrefixCache({capacityBlocks: 4, eventLagMs: 0});
  t.is(cache.take(promptOfBlocks('a', 3), 0), 0);
  t.is(cache.take(promptOfBlocks('a', 3), 0), 3 * BLOCK_TOKENS);
  cache.take(promptOfBlocks('b', 4), 0);
  t.is(cache.take(promptOfBlocks('a', 3), 0), 0);
});

test('events come late and with gaps', t => {
  const cache = new PrefixCache({eventLagMs: 100, eventGapEvery: 2});
  cache.take(promptOfBlocks('a', 3), 1000);
  t.deepEqual(cache.eventsAfter(0, 1099), []);
  const sequences = cache.eventsAfter(0, 1100).map(event => event.sequence);
  t.deepEqual(sequences, [1, 3]);
});
