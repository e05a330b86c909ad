import test from 'ava';
import {EndpointDirectory} from '@snipestage/routing/endpoint_directory.js';
import {ServiceVersions} from '@snipestage/routing/service_versions.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {waitUntil} from '../test_support/test_gateway.js';
import {versionsRowKey} from './stream_rows.js';
import {VersionPublisher} from './version_publisher.js';

const SERVICE = brandAs<ServiceId>('s');
const KEEP_MS = 60_000;

/** An instance that lists endpoints and publishes their versions. */
class Publishing {
  readonly directory = new EndpointDirectory();
  readonly versions = new ServiceVersions();
  readonly publisher: VersionPublisher;
  skippedMs = 0;

  constructor(platform: MemoryPlatform) {
    this.publisher = new VersionPublisher({
      platform,
      directory: this.directory,
      versions: this.versions,
      logger: new CapturedLog().logger,
      nowMs: () => performance.now() + this.skippedMs,
      countInstances: () => 1,
      keepMs: KEEP_MS,
      onChange: () => undefined,
    });
  }

  /** Lists one endpoint of each version and nothing else. */
  list(...versions: readonly string[]): void {
    this.directory.replace(
      versions.map(version => ({
        id: brandAs<EndpointId>(`endpoint-${version}`),
        service: SERVICE,
        address: brandAs<EndpointAddress>('127.0.0.1:1'),
        dataCentre: brandAs<DataCentreId>('akl-a'),
        softwareVersion: brandAs<SoftwareVersion>(version),
        capacity: 1,
        isLeaving: false,
        isCheap: false,
        bornEpochMs: 1,
      })),
      0,
    );
    this.publisher.check();
  }

  get published(): readonly string[] {
    return [...this.versions.find(SERVICE)].sort();
  }
}

const stored = (platform: MemoryPlatform): unknown =>
  platform.rows.get(versionsRowKey(SERVICE))?.value;

test('instances that list different versions publish all of them', async t => {
  // Guards against a row from which one instance removes another's version.
  const platform = new MemoryPlatform();
  const [first, second] = [new Publishing(platform), new Publishing(platform)];
  first.list('v1');
  second.list('v2');
  // Whoever writes last publishes both.
  const counts = () => [first, second].map(each => each.published.length);
  await waitUntil(() => counts().includes(2));
  first.list('v1', 'v2');
  second.list('v1', 'v2');
  await waitUntil(() => counts().every(count => count === 2));
  const {versions} = stored(platform) as {versions: readonly string[]};
  t.deepEqual([...versions].sort(), ['v1', 'v2']);
});

test('a version is published once the store is back', async t => {
  // Guards against a version that takes no streams after one lost write.
  const platform = new MemoryPlatform();
  platform.nextFaults.push('away', 'lose_answer');
  const instance = new Publishing(platform);
  instance.list('v1');
  await waitUntil(() => instance.published.length === 1);
  t.deepEqual(stored(platform), {versions: ['v1']});
});

test('a version that is gone is kept while callers may come back', async t => {
  // Guards against streams of it that pass for those of the version that is left.
  const platform = new MemoryPlatform();
  const instance = new Publishing(platform);
  instance.list('v1', 'v2');
  await waitUntil(() => instance.published.length === 2);
  instance.list('v2');
  instance.skippedMs = KEEP_MS - 1000;
  instance.publisher.check();
  await new Promise(done => setTimeout(done, 50));
  t.deepEqual(instance.published, ['v1', 'v2']);
  instance.list('v2');
  instance.skippedMs = KEEP_MS + 1000;
  instance.publisher.check();
  await waitUntil(() => instance.published.length === 1);
  t.deepEqual(stored(platform), {versions: ['v2']});
});
