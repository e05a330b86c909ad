/** Decodes a configuration in the format of the users' platform. */

import type {Fault} from '@snipestage/errors/request_error.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';

/** Either a configuration, or all faults with the paths of their fields. */
export type ReadConfiguration =
  | {readonly kind: 'read'; readonly configuration: RoutingConfiguration}
  | {readonly kind: 'faulty'; readonly faults: readonly Fault[]};

/** Implemented by the adapter to a platform, which composes the command. */
export abstract class ConfigurationReader {
  /** @param document as parsed from JSON. */
  abstract read(document: unknown): ReadConfiguration;
}
