import test from 'ava';
import {
  brandAs,
  type EndpointId,
  type PromptPartId,
} from '@snipestage/types/ids.js';
import {PrefixHolders} from './prefix_holders.js';
import type {Prompt} from './prompt.js';

const ONE = brandAs<EndpointId>('one');
const OTHER = brandAs<EndpointId>('other');

/** A prompt of these parts; the last is its own. */
function makePrompt(...ids: readonly string[]): Prompt {
  return {
    tokens: ids.length * 100,
    maxOutputTokens: 10,
    expectedOutputTokens: undefined,
    parts: ids.map(id => ({id: brandAs<PromptPartId>(id), tokens: 100})),
  };
}

test('a prefix is found at the engine it was last sent to, the deepest part first', t => {
  // Short prefixes are sent to the least loaded engine. Processed again at each
  // engine, they cost as much as the questions after them.
  const holders = new PrefixHolders();
  holders.note(makePrompt('rules', 'manual', 'mine'), ONE);
  holders.note(makePrompt('rules', 'ledger', 'theirs'), OTHER);
  const find = (...ids: readonly string[]): EndpointId | undefined =>
    holders.find(makePrompt(...ids), () => true);
  t.is(find('rules', 'manual', 'new'), ONE);
  t.is(find('rules', 'unknown', 'new'), OTHER);
  t.is(find('unknown', 'new'), undefined);
  t.is(find('mine'), undefined, 'the last part is not shared');
});

test('an engine that is gone holds nothing', t => {
  const holders = new PrefixHolders();
  holders.note(makePrompt('rules', 'mine'), ONE);
  holders.note(makePrompt('rules', 'manual', 'mine'), OTHER);
  const prompt = makePrompt('rules', 'manual', 'new');
  t.is(
    holders.find(prompt, id => id === ONE),
    undefined,
  );
});

test('the parts noted longest ago are forgotten', t => {
  const holders = new PrefixHolders({maxParts: 2});
  for (const id of ['a', 'b', 'a', 'c']) holders.note(makePrompt(id, 'x'), ONE);
  const isKnown = (id: string): boolean =>
    holders.find(makePrompt(id, 'x'), () => true) !== undefined;
  t.deepEqual(['a', 'b', 'c'].map(isKnown), [true, false, true]);
});
