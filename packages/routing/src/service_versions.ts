/** The software versions at which streams of each service may have begun. */

import type {ServiceId, SoftwareVersion} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

const NONE: ReadonlySet<SoftwareVersion> = new Set();

/**
 * Versions are published to all instances before any stream begins at them.
 * While one version is published, all streams of its service belong to it, and
 * their versions need not be recorded.
 */
export class ServiceVersions {
  private readonly published = new Map<
    ServiceId,
    ReadonlySet<SoftwareVersion>
  >();

  /** Replaces the published versions of a service. */
  learn(service: ServiceId, versions: readonly SoftwareVersion[]): void {
    this.published.set(service, new Set(versions));
  }

  /** All published versions at this moment. */
  readAll(): ReadonlyMap<ServiceId, ReadonlySet<SoftwareVersion>> {
    return new Map(this.published);
  }

  find(service: ServiceId): ReadonlySet<SoftwareVersion> {
    return this.published.get(service) ?? NONE;
  }

  /**
   * Whether a stream may begin at an endpoint. One without a version takes
   * streams, too, but none that another endpoint began.
   *
   * @example
   * const candidates = serving.filter(each => versions.mayBegin(each));
   */
  mayBegin({service, softwareVersion}: ServingEndpoint): boolean {
    return (
      softwareVersion === undefined || this.find(service).has(softwareVersion)
    );
  }

  /** Whether streams of the service may belong to different versions. */
  isMixed(service: ServiceId): boolean {
    return this.find(service).size > 1;
  }

  /**
   * Versions of listed endpoints that are not published, by service.
   *
   * @example
   * const missing = versions.listUnpublished(directory.readAll());
   */
  listUnpublished(
    endpoints: readonly ServingEndpoint[],
  ): ReadonlyMap<ServiceId, ReadonlySet<SoftwareVersion>> {
    const missing = new Map<ServiceId, Set<SoftwareVersion>>();
    for (const endpoint of endpoints) {
      const {service, softwareVersion} = endpoint;
      if (softwareVersion === undefined || this.mayBegin(endpoint)) continue;
      const versions = missing.get(service) ?? new Set();
      missing.set(service, versions.add(softwareVersion));
    }
    return missing;
  }
}
