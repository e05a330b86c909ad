/** Prefers the engines of the instance's own data centre. */

import type {DataCentreId} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link preferLocal}. */
export interface LocalOptions {
  readonly dataCentre: DataCentreId;
  /** Requests of all instances at an engine. */
  readonly loadOf: (engine: ServingEndpoint) => number;
  /**
   * Speed relative to an engine of usual speed (1). Loads are in requests of
   * such an engine.
   */
  readonly capacityOf?: (engine: ServingEndpoint) => number;
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
 * Where speeds differ, slow engines count by the part of the work that they take.
 *
 * @example
 * const group = preferLocal(engines, {dataCentre, loadOf});
 */
export function preferLocal(
  engines: readonly ServingEndpoint[],
  {dataCentre, loadOf, capacityOf = () => 1}: LocalOptions,
): readonly ServingEndpoint[] {
  const local = engines.filter(each => each.dataCentre === dataCentre);
  if (local.length < MIN_LOCAL_ENGINES) return engines;
  const weights = {valueOf: loadOf, weightOf: capacityOf};
  const excess = meanOf(local, weights) - meanOf(engines, weights);
  return excess > MAX_EXCESS_LOAD ? engines : local;
}

/** The mean in which each item counts by its weight. */
function meanOf<Item>(
  items: readonly Item[],
  options: {
    readonly valueOf: (item: Item) => number;
    readonly weightOf: (item: Item) => number;
  },
): number {
  const {valueOf, weightOf} = options;
  let sum = 0;
  let weights = 0;
  for (const item of items) {
    sum += valueOf(item) * weightOf(item);
    weights += weightOf(item);
  }
  return sum / Math.max(Number.MIN_VALUE, weights);
}
