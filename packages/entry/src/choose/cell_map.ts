/** All cells, planned from the configuration, the endpoints and the members. */

import {planCells, type Cell} from '@snipestage/policy/cells.js';
import type {CellEndpoint} from '@snipestage/policy/cell_messages.js';
import type {
  Configuration,
  Endpoint,
  EndpointTarget,
} from '@snipestage/types/configuration.js';
import type {CellId, DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import {instancesIn} from './cluster_view.js';

/** Options of {@link CellMap}. */
export interface CellMapOptions {
  readonly configuration: Configuration;
  /** Configured endpoints and those that the platform runs. */
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  readonly members: readonly Member[];
  readonly dataCentre: DataCentreId;
  readonly endpointsPerCell?: number;
}

/**
 * Immutable; replaced whenever the configuration, the endpoints or the members
 * change.
 */
export class CellMap {
  private readonly cells = new Map<CellId, Cell>();

  constructor(private readonly options: CellMapOptions) {
    for (const dataCentre of this.dataCentres()) {
      for (const cell of this.planDataCentre(dataCentre)) {
        this.cells.set(cell.id, cell);
      }
    }
  }

  all(): IterableIterator<Cell> {
    return this.cells.values();
  }

  get(cell: CellId): Cell | undefined {
    return this.cells.get(cell);
  }

  /**
   * Returns the cells that serve a target, grouped by data centre: the own one
   * first, then those of the same region, then all others.
   */
  serving(target: EndpointTarget): Cell[][] {
    const byDataCentre = new Map<DataCentreId, Cell[]>();
    for (const cell of this.cells.values()) {
      if (!isSameTarget(cell.target, target)) continue;
      const cells = byDataCentre.get(cell.dataCentre) ?? [];
      byDataCentre.set(cell.dataCentre, [...cells, cell]);
    }
    return this.dataCentres()
      .map(id => byDataCentre.get(id) ?? [])
      .filter(cells => cells.length > 0);
  }

  ownedBy(instance: InstanceId): Cell[] {
    return [...this.cells.values()].filter(cell => cell.owner === instance);
  }

  /**
   * Returns the cell's endpoints in the form used by its owner and its clients.
   */
  endpointsOf(cell: Cell): CellEndpoint[] {
    return cell.endpoints
      .map(id => this.options.endpoints.get(id))
      .filter(endpoint => endpoint !== undefined)
      .map(({id, kind, maxConcurrency, leaving}) => ({
        id,
        kind,
        maxConcurrency,
        leaving,
      }));
  }

  /** The own data centre, then those of the same region, then all others. */
  private dataCentres(): DataCentreId[] {
    const {configuration, dataCentre: own} = this.options;
    const ownRegion = configuration.dataCentres.get(own)?.region;
    const distanceOf = (id: DataCentreId, region: string) => {
      if (id === own) return 0;
      return region === ownRegion ? 1 : 2;
    };
    return [...configuration.dataCentres.values()]
      .map(({id, region}) => ({id, distance: distanceOf(id, region)}))
      .sort((a, b) => a.distance - b.distance || (a.id < b.id ? -1 : 1))
      .map(({id}) => id);
  }

  /**
   * Plans the cells of a data centre. A data centre without live entry
   * instances still has endpoints; its cells are then assigned to the live
   * instances of the others.
   */
  private planDataCentre(dataCentre: DataCentreId): Cell[] {
    const {endpoints, members, endpointsPerCell} = this.options;
    const local = instancesIn(members, dataCentre);
    const instances =
      local.length > 0 ? local : members.map(member => member.id);
    return planCells({
      dataCentre,
      endpoints: endpoints.values(),
      instances,
      endpointsPerCell,
    });
  }
}

/**
 * Whether two targets are the same model or the same service.
 *
 * @example
 * isSameTarget(endpoint.serves, request.target);
 */
export function isSameTarget(
  left: EndpointTarget,
  right: EndpointTarget,
): boolean {
  if (left.kind === 'model') {
    return right.kind === 'model' && left.model === right.model;
  }
  return right.kind === 'service' && left.service === right.service;
}
