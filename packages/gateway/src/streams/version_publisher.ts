/** Publishes the software versions of services before they begin streams. */

import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {EndpointDirectory} from '@snipestage/routing/endpoint_directory.js';
import type {ServiceVersions} from '@snipestage/routing/service_versions.js';
import type {ServiceId, SoftwareVersion} from '@snipestage/types/ids.js';
import {
  ABSENT,
  isOlderVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import type {RowCheck} from '@snipestage/types/table.js';
import {decodeVersions, encodeVersions, versionsRowKey} from './stream_rows.js';

/** Options of {@link VersionPublisher}; default in the brackets. */
export interface VersionPublisherOptions {
  readonly platform: Platform;
  readonly directory: EndpointDirectory;
  readonly versions: ServiceVersions;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly countInstances: () => number | undefined;
  /** How long a caller may come back for its stream. */
  readonly keepMs: number;
  /** Called when the published versions of a service have changed. */
  readonly onChange: (service: ServiceId) => void;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
}

/** Instances wait for one another: the first one writes for all. */
const JITTER_PER_INSTANCE_MS = 5;
const MAX_JITTER_MS = 1500;
/** Assumed while many instances that start together may not be counted yet. */
const UNKNOWN_INSTANCES = 100;
const RETRY_AFTER_MS = 200;
const CHECK_EVERY_MS = 10_000;

/** Owns the rows with the versions of all services. */
export class VersionPublisher {
  private readonly rowVersions = new Map<ServiceId, StoreVersion>();
  /** When an endpoint of a version was last seen in the list. */
  private readonly listedAtMs = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private interval: NodeJS.Timeout | undefined;
  private isPublishing = false;
  private isStopped = false;

  constructor(private readonly options: VersionPublisherOptions) {}

  start(): void {
    this.interval = setInterval(() => this.check(), CHECK_EVERY_MS);
    this.interval.unref();
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.interval);
    clearTimeout(this.timer);
  }

  /** Publishes what is missing; called when the list of endpoints changes. */
  check(): void {
    if (this.listChanges().size === 0) return;
    const instances = this.options.countInstances() ?? UNKNOWN_INSTANCES;
    const {random = Math.random} = this.options;
    const jitterMs = Math.min(
      MAX_JITTER_MS,
      instances * JITTER_PER_INSTANCE_MS,
    );
    this.schedule(random() * jitterMs);
  }

  /** Takes a row, unless a newer one is known. */
  learn(
    service: ServiceId,
    versions: readonly SoftwareVersion[],
    rowVersion: StoreVersion,
  ): void {
    const known = this.rowVersions.get(service) ?? ABSENT;
    if (isOlderVersion(rowVersion, known)) return;
    this.rowVersions.set(service, rowVersion);
    this.options.versions.learn(service, versions);
    this.options.logger.info('software_versions_learnt', {service, versions});
    this.options.onChange(service);
    this.check();
  }

  private schedule(delayMs: number): void {
    if (this.isStopped || this.timer !== undefined) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.publish();
    }, delayMs);
    this.timer.unref();
  }

  private async publish(): Promise<void> {
    if (this.isPublishing) return;
    this.isPublishing = true;
    try {
      for (const [service, versions] of this.listChanges()) {
        await this.publishOne(service, versions);
      }
    } finally {
      this.isPublishing = false;
    }
    if (this.listChanges().size > 0) this.schedule(RETRY_AFTER_MS);
  }

  private async publishOne(
    service: ServiceId,
    versions: ReadonlySet<SoftwareVersion>,
  ): Promise<void> {
    const key = versionsRowKey(service);
    const version = this.rowVersions.get(service) ?? ABSENT;
    const check: RowCheck = {key, version};
    const write = {key, value: encodeVersions(versions)};
    const result = await this.options.platform.transact({
      checks: [check],
      writes: [write],
    });
    if (result.kind === 'committed') {
      this.learn(service, [...versions], result.versions[key]);
    } else if (result.kind === 'conflict') {
      const [row] = result.rows;
      const found = decodeVersions(row?.value);
      if (found !== undefined) this.learn(service, found, row.version);
      else this.rowVersions.set(service, row?.version ?? ABSENT);
    }
  }

  /** Versions of services that have to be published, whole. */
  private listChanges(): Map<ServiceId, ReadonlySet<SoftwareVersion>> {
    const {directory, versions} = this.options;
    const endpoints = directory.readAll();
    this.noteListed();
    const changes = new Map<ServiceId, ReadonlySet<SoftwareVersion>>();
    const missing = versions.listUnpublished(endpoints);
    const services = new Set(endpoints.map(({service}) => service));
    for (const service of services) {
      const published = versions.find(service);
      const added = missing.get(service) ?? new Set();
      const kept = [...published].filter(each => this.isKept(service, each));
      if (added.size === 0 && kept.length === published.size) continue;
      changes.set(service, new Set([...kept, ...added]));
    }
    return changes;
  }

  private noteListed(): void {
    const nowMs = this.options.nowMs();
    for (const endpoint of this.options.directory.readAll()) {
      const {service, softwareVersion} = endpoint;
      if (softwareVersion === undefined) continue;
      this.listedAtMs.set(`${service}/${softwareVersion}`, nowMs);
    }
  }

  /** Whether callers may still come back for streams of a version. */
  private isKept(service: ServiceId, version: SoftwareVersion): boolean {
    const id = `${service}/${version}`;
    const nowMs = this.options.nowMs();
    const listedAtMs = this.listedAtMs.get(id) ?? nowMs;
    this.listedAtMs.set(id, listedAtMs);
    return nowMs - listedAtMs < this.options.keepMs;
  }
}
