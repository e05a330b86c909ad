/** Demand of cells, as input to endpoint planning. */

import type {CellSnapshot} from '@snipestage/policy/cell_owner.js';
import type {DemandLine} from '@snipestage/policy/endpoint_plan_input.js';
import type {RequestClass} from '@snipestage/types/configuration.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {CellMap} from '../choose/cell_map.js';

/**
 * Concurrent requests: `lines` by model and request class, `running` by
 * endpoint.
 */
export interface Demand {
  readonly lines: readonly DemandLine[];
  readonly running: ReadonlyArray<{
    readonly endpoint: EndpointId;
    readonly count: number;
  }>;
}

/**
 * Returns the demand of the cells that an instance owns. The lines include
 * running and waiting requests.
 *
 * @example
 * const demand = measureDemand(owners.snapshot(), map, classes);
 */
export function measureDemand(
  cells: readonly CellSnapshot[],
  map: CellMap,
  classes: ReadonlyMap<string, RequestClass>,
): Demand {
  const lines = cells.flatMap(cell => linesOf(cell, map, classes));
  const running = cells.flatMap(cell =>
    cell.endpoints.map(({endpoint, inFlight}) => ({endpoint, count: inFlight})),
  );
  return {lines, running};
}

function linesOf(
  cell: CellSnapshot,
  map: CellMap,
  classes: ReadonlyMap<string, RequestClass>,
): DemandLine[] {
  const planned = map.get(cell.cell);
  if (planned === undefined || planned.target.kind !== 'model') return [];
  const {dataCentre} = planned;
  const {model} = planned.target;
  const counts = new Map<string, number>();
  const add = (requestClass: string, count: number) =>
    counts.set(requestClass, (counts.get(requestClass) ?? 0) + count);
  for (const permit of cell.permits) add(permit.requestClass, 1);
  for (const queue of cell.queue) add(queue.requestClass, queue.waiting);
  return [...counts].flatMap(([id, concurrency]) => {
    const requestClass = classes.get(id);
    if (requestClass === undefined || concurrency === 0) return [];
    const {tier, cheapEndpointsAllowed: cheapAllowed} = requestClass;
    return [{dataCentre, model, tier, cheapAllowed, concurrency}];
  });
}
