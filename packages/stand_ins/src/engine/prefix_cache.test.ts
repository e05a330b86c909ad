import test from 'ava';
import {BLOCK_TOKENS, PrefixCache} from './prefix_cache.js';

function promptOfBlocks(name: string, blocks: number): string {
  return Array.from(
    {length: blocks * BLOCK_TOKENS},
    (_, at) => `${name}${at}`,
  ).join(' ');
}

test('a prefix stays cached until other blocks need the capacity', t => {
  const cache = new PrefixCache({capacityBlocks: 4, eventLagMs: 0});
  t.is(cache.touch(promptOfBlocks('a', 3), 0), 0);
  t.is(cache.touch(promptOfBlocks('a', 3), 0), 3 * BLOCK_TOKENS);
  cache.touch(promptOfBlocks('b', 4), 0);
  t.is(cache.touch(promptOfBlocks('a', 3), 0), 0);
});

test('events are published with a lag and with gaps', t => {
  const cache = new PrefixCache({eventLagMs: 100, eventGapEvery: 2});
  cache.touch(promptOfBlocks('a', 3), 1000);
  t.deepEqual(cache.eventsAfter(0, 1099), []);
  const sequences = cache.eventsAfter(0, 1100).map(event => event.sequence);
  t.deepEqual(sequences, [1, 3]);
});
