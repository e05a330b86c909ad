import test from 'ava';
import fc from 'fast-check';
import {brandAs} from '@snipestage/types/ids.js';
import {HeldBytes, type HolderKey, type HoldingKind} from './held_bytes.js';

const KB = 1000;
const NOW_MS = 100_000;
const ONE = brandAs<HolderKey>('account:one');
const OTHER = brandAs<HolderKey>('account:other');

test('a stream may take more until it holds its own bound', t => {
  const held = new HeldBytes({maxBytes: 10_000 * KB});
  const stream = held.open(ONE, 'stream');
  held.set(stream, 999 * KB, NOW_MS);
  t.true(held.hasStreamRoom(stream));
  held.set(stream, 1000 * KB, NOW_MS);
  t.false(held.hasStreamRoom(stream));
});

test('an instance may hold a quarter of its memory', t => {
  t.is(HeldBytes.forMemory(250_000_000).limitBytes, 62_500_000);
});

test('the holder with the most loses its largest answer', t => {
  const held = new HeldBytes({maxBytes: 1000 * KB});
  const small = held.open(ONE, 'stream');
  const large = held.open(ONE, 'stream');
  const others = held.open(OTHER, 'stream');
  held.set(small, 300 * KB, NOW_MS);
  held.set(large, 350 * KB, NOW_MS);
  t.deepEqual(held.set(others, 340 * KB, NOW_MS), []);
  t.deepEqual(held.set(others, 360 * KB, NOW_MS), [large]);
  t.is(held.totalBytes, 660 * KB);
  t.false(large.isOpen);
});

test('many connections of one holder cost no answer of another', t => {
  // Guards against one account with 200 connections, each of which holds less
  // than the single answer of another account.
  const held = new HeldBytes({maxBytes: 10_000 * KB});
  const single = held.open(OTHER, 'stream');
  held.set(single, 900 * KB, NOW_MS);
  for (let index = 0; index < 200; index += 1) {
    const each = held.open(ONE, 'stream');
    for (const aborted of held.set(each, 100 * KB, NOW_MS)) {
      t.is(aborted.holder, ONE);
    }
  }
  t.true(single.isOpen);
  t.true(held.totalBytes <= held.limitBytes);
});

test('answers read from one endpoint leave room for those of others', t => {
  // Guards against an endpoint whose endless answers take all memory.
  const held = new HeldBytes({maxBytes: 1000 * KB});
  const others = held.open(OTHER, 'stream');
  held.set(others, 450 * KB, NOW_MS);
  const first = held.open(ONE, 'read_ahead');
  const second = held.open(ONE, 'read_ahead');
  held.set(first, 300 * KB, NOW_MS);
  t.deepEqual(held.set(second, 190 * KB, NOW_MS), []);
  t.deepEqual(held.set(second, 210 * KB, NOW_MS), [first]);
  t.true(others.isOpen);
  t.deepEqual(held.set(second, 540 * KB, NOW_MS), []);
});

test('a whole answer that is being read outlasts others of its holder', t => {
  const held = new HeldBytes({maxBytes: 1000 * KB});
  const read = held.open(ONE, 'whole_answer');
  const unread = held.open(ONE, 'whole_answer');
  held.set(read, 600 * KB, NOW_MS);
  held.set(unread, 300 * KB, NOW_MS);
  read.noteRead(NOW_MS);
  const late = held.open(ONE, 'stream');
  t.deepEqual(held.set(late, 200 * KB, NOW_MS + 1000), [unread]);
  held.set(held.open(ONE, 'whole_answer'), 150 * KB, NOW_MS + 1000);
  // Long after it was last read, its size decides again.
  t.deepEqual(held.set(late, 300 * KB, NOW_MS + 60_000), [read]);
});

test('the growth of an answer costs the holder with the most, by however small answers', t => {
  // Guards against one large answer that is aborted for many small ones of
  // another account.
  const held = new HeldBytes({maxBytes: 1000 * KB});
  const single = held.open(OTHER, 'stream');
  held.set(single, 400 * KB, NOW_MS);
  const small = Array.from({length: 30}, () => held.open(ONE, 'stream'));
  for (const each of small) held.set(each, 20 * KB, NOW_MS);
  const aborted = held.set(single, 415 * KB, NOW_MS);
  t.deepEqual(
    aborted.map(({holder}) => holder),
    [ONE],
  );
});

test('a body without room is refused', t => {
  // Guards against reading a body that the memory has no room for.
  const held = new HeldBytes({maxBytes: 1000 * KB});
  const first = held.open(ONE, 'incoming_body');
  t.true(held.tryAdd(first, 500 * KB, NOW_MS).isHeld);
  first.kind = 'request_body';
  const second = held.open(OTHER, 'incoming_body');
  t.true(held.tryAdd(second, 500 * KB, NOW_MS).isHeld);
  second.kind = 'request_body';
  const third = held.open(brandAs<HolderKey>('account:third'), 'incoming_body');
  t.deepEqual(held.tryAdd(third, KB, NOW_MS), {isHeld: false, aborted: []});
  held.close(first);
  t.true(held.tryAdd(third, KB, NOW_MS).isHeld);
});

test('bodies of one holder leave half of the room to others', t => {
  // Guards against a caller that states long bodies and sends them slowly.
  const held = new HeldBytes({maxBytes: 1000 * KB});
  for (let index = 0; index < 20; index += 1) {
    held.tryAdd(held.open(ONE, 'incoming_body'), 100 * KB, NOW_MS);
  }
  t.is(held.totalBytes, 500 * KB);
  t.true(
    held.tryAdd(held.open(OTHER, 'incoming_body'), 400 * KB, NOW_MS).isHeld,
  );
});

test('a body gets the room of unread answers of a holder with more', t => {
  // Guards against unread answers that keep all other callers' requests out.
  const held = new HeldBytes({maxBytes: 1000 * KB});
  const unread = [held.open(ONE, 'stream'), held.open(ONE, 'stream')];
  for (const each of unread) held.set(each, 500 * KB, NOW_MS);
  const body = held.open(OTHER, 'incoming_body');
  const {isHeld, aborted} = held.tryAdd(body, 200 * KB, NOW_MS);
  t.true(isHeld);
  t.is(aborted.length, 1);
  // Its own holder's answers make no room for further requests.
  const own = held.open(ONE, 'incoming_body');
  t.false(held.tryAdd(own, 400 * KB, NOW_MS).isHeld);
});

test('a body that has been read is not given up', t => {
  const held = new HeldBytes({maxBytes: 1000 * KB});
  const running = held.open(ONE, 'incoming_body');
  held.tryAdd(running, 500 * KB, NOW_MS);
  running.kind = 'request_body';
  const answer = held.open(OTHER, 'stream');
  t.deepEqual(held.set(answer, 600 * KB, NOW_MS), [answer]);
  t.true(running.isOpen);
});

test('a holding that was aborted counts nothing any more', t => {
  const held = new HeldBytes({maxBytes: 100 * KB});
  const answer = held.open(ONE, 'stream');
  t.deepEqual(held.set(answer, 200 * KB, NOW_MS), [answer]);
  t.deepEqual(held.set(answer, 50 * KB, NOW_MS), []);
  held.close(answer);
  t.is(held.totalBytes, 0);
});

test('the total stays within its bound, and nobody loses to a holder with more', t => {
  const kinds: HoldingKind[] = ['incoming_body', 'stream', 'whole_answer'];
  const step = fc.record({
    holder: fc.integer({min: 0, max: 4}),
    connection: fc.integer({min: 0, max: 9}),
    kind: fc.constantFrom(...kinds),
    kilobytes: fc.integer({min: 0, max: 600}),
    isClosed: fc.boolean(),
  });
  const check = (
    steps: ReadonlyArray<typeof step extends fc.Arbitrary<infer S> ? S : never>,
  ) => {
    const held = new HeldBytes({maxBytes: 1500 * KB});
    const open = new Map<string, ReturnType<HeldBytes['open']>>();
    const sumOf = (holder: HolderKey) =>
      [...open.values()]
        .filter(each => each.holder === holder)
        .reduce((sum, {bytes}) => sum + bytes, 0);
    for (const {holder, connection, kind, kilobytes, isClosed} of steps) {
      const key = `${holder}/${connection}/${kind}`;
      const owner = brandAs<HolderKey>(`account:${holder}`);
      const holding = open.get(key) ?? held.open(owner, kind);
      open.set(key, holding);
      const bytes = kilobytes * KB;
      const before = new Map(
        [...open.values()].map(each => [each.holder, sumOf(each.holder)]),
      );
      const ownBefore =
        (before.get(owner) ?? 0) -
        (kind === 'incoming_body' ? 0 : holding.bytes);
      const aborted =
        kind === 'incoming_body'
          ? held.tryAdd(holding, bytes, NOW_MS).aborted
          : held.set(holding, bytes, NOW_MS);
      for (const each of aborted) {
        const lostBy =
          each.holder === owner ? ownBefore + bytes : before.get(each.holder)!;
        if (lostBy < ownBefore + bytes) return false;
      }
      if (isClosed) held.close(holding);
      if (!holding.isOpen) open.delete(key);
      for (const [each, {isOpen}] of open) if (!isOpen) open.delete(each);
      if (held.totalBytes > held.limitBytes) return false;
    }
    const sum = [...open.values()].reduce((total, {bytes}) => total + bytes, 0);
    return sum === held.totalBytes;
  };
  fc.assert(fc.property(fc.array(step, {maxLength: 80}), check), {
    seed: 7,
    numRuns: 300,
  });
  t.pass();
});
