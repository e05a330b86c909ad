/** Engines of one's own data centre, as long as they have room. */

import type {DataCentreId} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** What {@link preferLocal} goes by. */
export interface LocalOptions {
  readonly dataCentre: DataCentreId;
  /** Requests at an engine, of all instances. */
  readonly loadOf: (engine: ServingEndpoint) => number;
}

/** With fewer of them there is too little to choose from. */
const MIN_LOCAL_ENGINES = 4;
/** Requests an engine by which the near ones may be fuller than all. */
const MAX_EXCESS_LOAD = 1;

/**
 * Bytes between data centres are dear, and a way between them may be cut. So
 * what may go anywhere stays near. Load pattern: clients move to one data
 * centre; its engines are fuller than the others then, and all are used.
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
