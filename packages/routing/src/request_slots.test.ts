import test from 'ava';
import {brandAs} from '@snipestage/types/ids.js';
import type {HolderKey} from './held_bytes.js';
import {RequestSlots} from './request_slots.js';

const [ONE, OTHER] = ['one', 'other'].map(id => brandAs<HolderKey>(id));

test('one holder leaves half of the slots to others', t => {
  // Guards against one client account that keeps all others from an instance.
  const slots = new RequestSlots({maxRequests: 4});
  t.deepEqual(
    [1, 2, 3].map(() => slots.tryTake(ONE)),
    [true, true, false],
  );
  t.true(slots.tryTake(OTHER));
  slots.release(ONE);
  t.true(slots.tryTake(ONE));
});

test('a machine of 160 MB has slots for more than two thousand requests', t => {
  t.true(RequestSlots.forMemory(160_000_000).maxRequests > 2000);
});
