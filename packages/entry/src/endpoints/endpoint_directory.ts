/**
 * Directory of all endpoints: configured ones and those that the platform runs.
 */

import type {Configuration, Endpoint} from '@snipestage/types/configuration.js';
import type {DataCentreId, EndpointId} from '@snipestage/types/ids.js';
import type {ListedEndpoint} from '@snipestage/types/platform_messages.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';

/** The platform's list for one data centre, as read by some instance. */
export interface EndpointList {
  readonly dataCentre: DataCentreId;
  readonly items: readonly ListedEndpoint[];
}

/** Endpoints of one data centre that the plan drains. */
export interface DrainList {
  readonly dataCentre: DataCentreId;
  readonly endpoints: readonly EndpointId[];
}

/**
 * Merges the configured endpoints with the listed ones. An endpoint is marked
 * as leaving by a ticket, by the platform's list or by the plan, whichever
 * comes first; from then on it gets no new work. The same applies while its
 * data centre is evacuated.
 */
export class EndpointDirectory {
  private readonly lists = new Map<DataCentreId, EndpointList>();
  private readonly drains = new Map<DataCentreId, ReadonlySet<EndpointId>>();
  private readonly listeners: Array<() => void> = [];
  private merged: ReadonlyMap<string, Endpoint> = new Map();

  constructor(private readonly store: ConfigurationStore) {
    store.onChange(() => this.merge());
  }

  get endpoints(): ReadonlyMap<string, Endpoint> {
    return this.merged;
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  setList(list: EndpointList): void {
    const known = this.lists.get(list.dataCentre);
    if (JSON.stringify(known) === JSON.stringify(list)) return;
    this.lists.set(list.dataCentre, list);
    this.merge();
  }

  setDrains(drains: DrainList): void {
    this.drains.set(drains.dataCentre, new Set(drains.endpoints));
    this.merge();
  }

  listed(): ListedEndpoint[] {
    return [...this.lists.values()].flatMap(({items}) => items);
  }

  snapshot(): object {
    return {
      endpoints: [...this.merged.values()].map(({id, leaving, kind}) => ({
        id,
        kind,
        leaving,
      })),
      draining: [...this.drains.values()].flatMap(ids => [...ids]),
    };
  }

  private merge(): void {
    const {current} = this.store;
    const merged = new Map(current.endpoints);
    for (const item of this.listed()) {
      const configured = merged.get(item.id);
      const endpoint = configured ?? fromList(item, current);
      if (endpoint === undefined) continue;
      const leaving = endpoint.leaving || item.state === 'leaving';
      merged.set(item.id, {...endpoint, leaving});
    }
    for (const id of [...this.drains.values()].flatMap(ids => [...ids])) {
      const endpoint = merged.get(id);
      if (endpoint) merged.set(id, {...endpoint, leaving: true});
    }
    for (const [id, endpoint] of merged) {
      const centre = current.dataCentres.get(endpoint.dataCentre);
      if (centre?.evacuated) merged.set(id, {...endpoint, leaving: true});
    }
    this.merged = merged;
    for (const listener of this.listeners) listener();
  }
}

/**
 * Returns `undefined` for an endpoint that belongs to no configured pool or is
 * still starting.
 */
function fromList(
  item: ListedEndpoint,
  configuration: Configuration,
): Endpoint | undefined {
  if (item.state === 'starting') return undefined;
  const poolId = `${item.dataCentre}/${item.model}`;
  const pool = configuration.endpointPools.get(poolId);
  if (pool === undefined) return undefined;
  return {
    id: item.id,
    dataCentre: item.dataCentre,
    kind: item.kind,
    url: item.url,
    serves: {kind: 'model', model: item.model},
    maxConcurrency: pool.maxConcurrencyPerEndpoint,
    leaving: item.state === 'leaving',
  };
}
