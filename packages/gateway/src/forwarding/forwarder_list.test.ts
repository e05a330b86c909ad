import test from 'ava';
import type {
  Forwarder,
  ForwarderAddress,
} from '@snipestage/routing/forwarder_choice.js';
import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {waitUntil} from '../test_support/test_gateway.js';
import {ForwarderList} from './forwarder_list.js';

const PUBLISH_WITHIN_MS = 5;
const OWN: Forwarder = {
  instance: brandAs<InstanceId>('one'),
  dataCentre: brandAs<DataCentreId>('akl-a'),
  address: brandAs<ForwarderAddress>('10.0.0.1:7341'),
};

class CountingPlatform extends MemoryPlatform {
  scans = 0;
  writes = 0;

  override scanRows(prefix: string) {
    this.scans += 1;
    return super.scanRows(prefix);
  }

  override transact(transaction: Parameters<MemoryPlatform['transact']>[0]) {
    this.writes += 1;
    return super.transact(transaction);
  }
}

function createList(platform: CountingPlatform, instances: number) {
  return new ForwarderList({
    own: OWN,
    platform,
    logger: new CapturedLog().logger,
    nowMs: () => performance.now(),
    countInstances: () => instances,
    onRead: () => undefined,
    publishWithinMs: PUBLISH_WITHIN_MS,
  });
}

test('a restart doesn’t write the same row again', async t => {
  // Guards against a write of each instance whenever many restart.
  const platform = new CountingPlatform();
  for (let start = 0; start < 3; start += 1) {
    const scansBefore = platform.scans;
    const list = createList(platform, 3);
    list.start();
    await waitUntil(() => platform.scans > scansBefore);
    list.stop();
  }
  t.is(platform.writes, 1);
});

test('load pattern: hundreds of instances read the list of all', async t => {
  // Guards against reads whose bytes grow with the square of the instances.
  const few = new CountingPlatform();
  const many = new CountingPlatform();
  const lists = [createList(few, 9), createList(many, 300)];
  for (const list of lists) list.start();
  await waitUntil(() => few.scans >= 8);
  for (const list of lists) list.stop();
  t.true(many.scans <= 2, `${many.scans}`);
});

test('a row that the store has lost is written again', t => {
  // Guards against instances that nobody finds after the store was set back.
  const platform = new CountingPlatform();
  const empty = platform.copy();
  const list = createList(platform, 3);
  list.start();
  return waitUntil(() => platform.writes === 1).then(async () => {
    platform.setBack(empty);
    list.republish();
    await waitUntil(() => platform.writes === 2);
    list.stop();
    t.is(platform.rows.size, 1);
  });
});
