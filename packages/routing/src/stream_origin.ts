/** Which endpoints may go on with a stream that another one began. */

import type {ServiceId, SoftwareVersion} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Service and software version of the endpoint that began a stream. */
export interface StreamOrigin {
  readonly service: ServiceId;
  /** Undefined where the platform doesn't state it. */
  readonly softwareVersion: SoftwareVersion | undefined;
}

/**
 * Whether an endpoint may go on with a stream. What two software versions write
 * doesn't fit together, and endpoints don't check this.
 *
 * @example
 * const candidates = serving.filter(each => mayContinue(each, origin));
 */
export function mayContinue(
  endpoint: ServingEndpoint,
  {service, softwareVersion}: StreamOrigin,
): boolean {
  return (
    softwareVersion !== undefined &&
    endpoint.service === service &&
    endpoint.softwareVersion === softwareVersion
  );
}

/**
 * Whether the cache of an endpoint may be fetched by another one.
 *
 * @example
 * const source = sharesCache(holder, endpoint) ? holder.address : undefined;
 */
export function sharesCache(
  holder: ServingEndpoint,
  endpoint: ServingEndpoint,
): boolean {
  return holder.softwareVersion === endpoint.softwareVersion;
}
