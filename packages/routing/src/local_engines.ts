/** Prefers the engines of the instance's own data centre. */

import type {DataCentreId} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link preferLocal}. */
export interface LocalOptions {
  readonly dataCentre: DataCentreId;
  /** Requests of all instances at an engine. */
  readonly loadOf: (engine: ServingEndpoint) => number;
}

/** With fewer local engines, balancing among them is too coarse. */
const MIN_LOCAL_ENGINES = 4;
/** Requests per engine by which the local mean may exceed the overall mean. */
const MAX_EXCESS_LOAD = 1;

/**
 * The local engines, or all of them when the local ones are more loaded.
 *
 * Traffic between data centres is expensive and may be cut off. Load pattern:
 * clients move to one data centre, whose engines fill up while others are idle.
 *
 * @example
 * const group = preferLocal(engines, {dataCentre, loadOf});
 */
export function preferLocal(
  engines: readonly ServingEndpoint[],
  {dataCentre, loadOf}: LocalOptions,
): readonly ServingEndpoint[] {
  const local = engines.filter(each => each.dataCentre === dataCentre);
  if (local.length < MIN_LOCAL_ENGINES) return engines;
  const excess = meanOf(local, loadOf) - meanOf(engines, loadOf);
  return excess > MAX_EXCESS_LOAD ? engines : local;
}

function meanOf<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): number {
  const sum = items.reduce((total, item) => total + valueOf(item), 0);
  return sum / Math.max(1, items.length);
}
