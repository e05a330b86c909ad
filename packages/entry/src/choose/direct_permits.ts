/** Permits from this instance's own view, without cells or their owners. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {
  Endpoint,
  EndpointTarget,
} from '@snipestage/types/configuration.js';
import type {DataCentreId, EndpointId} from '@snipestage/types/ids.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import {Permits, type Permit, type PermitRequest} from './permits.js';

const RETRY_AFTER_MS = 1000;

/** Options of {@link DirectPermits}. */
export interface DirectPermitsOptions {
  readonly store: ConfigurationStore;
  readonly dataCentre: DataCentreId;
}

/** Least in flight first, own data centre before others, no queue. */
export class DirectPermits extends Permits {
  private readonly inFlight = new Map<EndpointId, number>();

  constructor(private readonly options: DirectPermitsOptions) {
    super();
  }

  async acquire(request: PermitRequest): Promise<Permit> {
    const endpoint = this.choose(request);
    if (endpoint === undefined) {
      throw new RequestError('No endpoint can take the request now.', {
        code: 'no_endpoint',
        verdict: 'not_run',
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    this.add(endpoint.id, 1);
    return {
      endpoint,
      progress: () => {},
      release: () => this.add(endpoint.id, -1),
    };
  }

  private choose(request: PermitRequest): Endpoint | undefined {
    const candidates = [...this.options.store.current.endpoints.values()]
      .filter(endpoint => servesTarget(endpoint, request.target))
      .filter(endpoint => !endpoint.leaving)
      .filter(endpoint => !request.excluded.includes(endpoint.id))
      .filter(endpoint => this.count(endpoint) < endpoint.maxConcurrency);
    candidates.sort(
      (left, right) =>
        this.distance(left) - this.distance(right) ||
        this.count(left) - this.count(right),
    );
    return candidates[0];
  }

  private distance(endpoint: Endpoint): number {
    return endpoint.dataCentre === this.options.dataCentre ? 0 : 1;
  }

  private count(endpoint: Endpoint): number {
    return this.inFlight.get(endpoint.id) ?? 0;
  }

  private add(endpoint: EndpointId, change: number): void {
    const count = this.inFlight.get(endpoint) ?? 0;
    this.inFlight.set(endpoint, count + change);
  }
}

function servesTarget(endpoint: Endpoint, target: EndpointTarget): boolean {
  const {serves} = endpoint;
  if (serves.kind === 'model') {
    return target.kind === 'model' && serves.model === target.model;
  }
  return target.kind === 'service' && serves.service === target.service;
}
