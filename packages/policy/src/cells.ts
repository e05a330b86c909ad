/**
 * Cells: small groups of endpoints of one model or service in one data centre,
 * each owned by one of the entry instances there.
 *
 * The plan depends on the configuration and the live instances alone, so that
 * instances with the same view agree without exchanging messages. Cells are not
 * chunks of the sorted endpoint ids: an endpoint that leaves would shift all
 * behind it, and hysteresis against that needs state that a new instance does
 * not have.
 */

import type {
  Endpoint,
  EndpointTarget,
} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type CellId,
  type DataCentreId,
  type EndpointId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {assignBounded} from './bounded_assignment.js';
import {rankByRendezvous} from './rendezvous.js';

const DEFAULT_ENDPOINTS_PER_CELL = 4;
const DEFAULT_CELLS_PER_INSTANCE = 4;

/** A cell with its endpoints, the instances that use it and its owner. */
export interface Cell {
  readonly id: CellId;
  readonly dataCentre: DataCentreId;
  readonly target: EndpointTarget;
  readonly endpoints: readonly EndpointId[];
  /** Entry instances that send requests to the cell. */
  readonly instances: readonly InstanceId[];
  /** Absent when no instance is live. */
  readonly owner?: InstanceId;
}

/** Options of {@link planCells}. */
export interface CellPlanOptions {
  readonly dataCentre: DataCentreId;
  /** Endpoints of other data centres are ignored. */
  readonly endpoints: Iterable<Endpoint>;
  /** Live entry instances of the data centre. */
  readonly instances: Iterable<InstanceId>;
  readonly endpointsPerCell?: number;
  /**
   * Number of cells of one target that an instance uses; all if there are
   * fewer.
   */
  readonly cellsPerInstance?: number;
}

/**
 * Plans all cells of a data centre.
 *
 * @example
 * const cells = planCells({
 *   dataCentre,
 *   endpoints: configuration.endpoints.values(),
 *   instances: liveInstances,
 * });
 */
export function planCells(options: CellPlanOptions): Cell[] {
  const byTarget = new Map<string, Endpoint[]>();
  for (const endpoint of options.endpoints) {
    if (endpoint.dataCentre !== options.dataCentre) continue;
    const name = nameTarget(endpoint.serves);
    byTarget.set(name, [...(byTarget.get(name) ?? []), endpoint]);
  }
  return [...byTarget.values()].flatMap(endpoints =>
    planTarget(endpoints, options),
  );
}

/**
 * Chooses the owner of a cell among the instances that use it; `undefined` if
 * there are none.
 *
 * @example
 * ownerOf(cell.id, cell.instances);
 */
export function ownerOf(
  cell: CellId,
  instances: Iterable<InstanceId>,
): InstanceId | undefined {
  return rankByRendezvous(cell, instances)[0];
}

function planTarget(
  endpoints: readonly Endpoint[],
  options: CellPlanOptions,
): Cell[] {
  const {dataCentre} = options;
  const perCell = options.endpointsPerCell ?? DEFAULT_ENDPOINTS_PER_CELL;
  const target = endpoints[0].serves;
  const ids = nameCells(dataCentre, target, endpoints.length, perCell);
  const endpointsOf = assignBounded({
    items: endpoints.map(({id}) => id),
    bins: ids,
  });
  const instancesOf = assignBounded({
    items: options.instances,
    bins: ids,
    binsPerItem: options.cellsPerInstance ?? DEFAULT_CELLS_PER_INSTANCE,
  });
  return ids.map(id => {
    const instances = instancesOf.get(id)!;
    return {
      id,
      dataCentre,
      target,
      endpoints: endpointsOf.get(id)!,
      instances,
      owner: ownerOf(id, instances),
    };
  });
}

function nameCells(
  dataCentre: DataCentreId,
  target: EndpointTarget,
  endpoints: number,
  perCell: number,
): CellId[] {
  const count = Math.max(1, Math.round(endpoints / perCell));
  return Array.from({length: count}, (_, index) =>
    brandAs<CellId>(`${dataCentre}/${nameTarget(target)}/${index + 1}`),
  );
}

function nameTarget(target: EndpointTarget): string {
  return target.kind === 'model'
    ? `model/${target.model}`
    : `service/${target.service}`;
}
