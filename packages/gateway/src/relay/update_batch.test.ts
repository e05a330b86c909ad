import test from 'ava';
import {
  composeStoreVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import type {FollowedRow} from '../table_follower.js';
import {RELAY_SERVICE, type RelayUpdate} from './relay_messages.js';
import {TableCopy} from './table_copy.js';
import {UpdateBatch} from './update_batch.js';

const FOLLOWERS = 300;
const ENDPOINTS = 3000;
const LEAVING = 1000;
const BITS = 8;
/** Link of a relay, and of the weakest of its followers. */
const RELAY_BITS_PER_S = 140e6;
const WEAKEST_BITS_PER_S = 7e6;
/** What is left of the time for a change after the store was polled. */
const PUBLISH_WITHIN_S = 1;

const versionOf = (number: number): StoreVersion =>
  composeStoreVersion({era: 0, number});

/** The row of an endpoint as it writes it itself. */
function rowOf(index: number, number: number, state: string): FollowedRow {
  const value = {
    service: 'huvo11a',
    address: `10.128.${index >> 8}.${index & 255}:8080`,
    dataCentre: 'akl-a',
    version: 'v1',
    capacity: 64,
    state,
    warmup_left_ms: 0,
    phase: 'unified',
    models: [{name: 'm', version: 1, loras: []}],
    born: 1_792_876_189_660 + ((index * 7919) % 5000),
    sequence: (index * 31) % 17,
  };
  // Ids are random, and the least compressible part of a row.
  const id = ((index + 1) * 2_654_435_761).toString(16).slice(-10);
  const data = Buffer.from(JSON.stringify(value));
  return {key: `i-${id}`, version: versionOf(number), data};
}

/** A copy of all endpoints, a third of which then announce their leaving. */
function copyWithLeaving(): TableCopy {
  const copy = new TableCopy();
  const all = Array.from({length: ENDPOINTS}, (_, index) =>
    rowOf(index, 1 + index, 'ready'),
  );
  copy.replace(all, versionOf(ENDPOINTS));
  const leaving = Array.from({length: LEAVING}, (_, index) =>
    rowOf(index, 1 + ENDPOINTS + index, 'draining'),
  );
  copy.apply(leaving, versionOf(ENDPOINTS + LEAVING));
  return copy;
}

const {responseDeserialize} = RELAY_SERVICE.follow;

test('a thousand endpoints that leave at once are published in time to 300 followers', t => {
  // Guards against requests to endpoints that have left: the update is behind in
  // the relay's link, or a weak follower reads it too slowly.
  const copy = copyWithLeaving();
  const batch = new UpdateBatch({table: 'endpoints', copy});
  const made = new Set<Buffer>();
  let bytes = 0;
  for (let follower = 0; follower < FOLLOWERS / 3; follower += 1) {
    const update = batch.updateSince(versionOf(ENDPOINTS), {
      isCompressed: true,
    });
    bytes += update.bytes.length;
    made.add(update.bytes);
  }
  t.is(made.size, 1);
  const [own] = made;
  t.true((bytes * BITS) / RELAY_BITS_PER_S < PUBLISH_WITHIN_S);
  t.true((own.length * BITS) / WEAKEST_BITS_PER_S < PUBLISH_WITHIN_S / 4);
  const update = responseDeserialize(own) as RelayUpdate;
  t.is(update.rows.length, LEAVING);
  t.is(update.version, versionOf(ENDPOINTS + LEAVING));
});

test('followers that read no compressed updates get the same as text', t => {
  // Guards against followers of an earlier build that lose their relay.
  const batch = new UpdateBatch({
    table: 'endpoints',
    copy: copyWithLeaving(),
  });
  const {bytes} = batch.updateSince(versionOf(ENDPOINTS), {
    isCompressed: false,
  });
  const update = JSON.parse(bytes.toString()) as RelayUpdate;
  t.is(update.rows.length, LEAVING);
});

test('a follower with an unknown version learns that it isn’t covered', t => {
  const copy = copyWithLeaving();
  const batch = new UpdateBatch({table: 'endpoints', copy});
  const form = {isCompressed: true};
  const {bytes} = batch.updateSince(versionOf(5), form);
  const update = responseDeserialize(bytes) as RelayUpdate;
  t.is(update.since, copy.version!);
  t.deepEqual(update.rows, []);
});

test('one confirmation goes to all followers that miss nothing', t => {
  // Guards against a relay that is busy making one for each follower, late.
  const copy = copyWithLeaving();
  const batch = new UpdateBatch({table: 'endpoints', copy, storeMs: 700});
  const form = {isCompressed: true};
  const {bytes} = batch.updateSince(copy.version!, form);
  t.is(batch.updateSince(copy.version!, form).bytes, bytes);
  t.like(responseDeserialize(bytes), {
    since: copy.version,
    version: copy.version,
    rows: [],
    storeMs: 700,
  });
});
