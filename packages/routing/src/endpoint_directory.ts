/** The endpoints that may get requests, from the changes of their list. */

import type {
  DataCentreId,
  EndpointId,
  ServiceId,
} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** A row of the list that changed. */
export type EndpointChange =
  | {readonly kind: 'listed'; readonly endpoint: ServingEndpoint}
  /** Its row is gone. */
  | {readonly kind: 'removed'; readonly id: EndpointId}
  /** Its row can't be read: it names no endpoint to use. */
  | {readonly kind: 'unreadable'; readonly id: EndpointId};

/** What a {@link EndpointDirectory} is made from; defaults in the brackets. */
export interface EndpointDirectoryOptions {
  /**
   * How long after the store last failed a vanished row counts as lapsed rather
   * than removed (2,300 ms). The store expires rows that could not be renewed;
   * endpoints write theirs again within two seconds of its return. Counted from
   * the failure and not from when the row was missed: to an instance that was cut
   * off, endpoints that have left look the same, and they must not get requests
   * for long once it is back.
   */
  readonly keepVanishedMs?: number;
}

const DEFAULT_KEEP_VANISHED_MS = 2300;

/**
 * Keeps endpoints by service.
 *
 * A row that vanishes in calm times means that its endpoint has left, and it
 * gets nothing from then on. After an outage of the store all rows may have
 * lapsed while the endpoints are alive; without a delay, an instance would
 * refuse everything for two seconds after each outage.
 */
export class EndpointDirectory {
  private readonly endpoints = new Map<EndpointId, ServingEndpoint>();
  private readonly vanished = new Set<EndpointId>();
  private evacuated: ReadonlySet<DataCentreId> = new Set();
  private byService = new Map<ServiceId, ServingEndpoint[]>();
  private disturbedAtMs = Number.NEGATIVE_INFINITY;
  private readonly keepVanishedMs: number;

  constructor(options: EndpointDirectoryOptions = {}) {
    this.keepVanishedMs = options.keepVanishedMs ?? DEFAULT_KEEP_VANISHED_MS;
  }

  /** When an endpoint last came or went. */
  changedAtMs = Number.NEGATIVE_INFINITY;

  /** The store of the list failed to answer, or answered with a failure. */
  noteDisturbance(nowMs: number): void {
    this.disturbedAtMs = nowMs;
  }

  /**
   * Takes in changes in their order.
   *
   * @example
   * directory.apply([{kind: 'listed', endpoint}], nowMs);
   */
  apply(changes: readonly EndpointChange[], nowMs: number): void {
    for (const change of changes) this.applyOne(change, nowMs);
    this.index();
    this.changedAtMs = nowMs;
  }

  /**
   * Takes in the whole list; what isn't in it has vanished.
   *
   * @example
   * directory.replace(endpoints, nowMs);
   */
  replace(endpoints: readonly ServingEndpoint[], nowMs: number): void {
    const listed = new Set(endpoints.map(({id}) => id));
    for (const id of this.endpoints.keys()) {
      if (!listed.has(id)) this.vanish(id, nowMs);
    }
    for (const endpoint of endpoints) this.list(endpoint);
    this.index();
    this.changedAtMs = nowMs;
  }

  /**
   * Sets the data centres that an operator has evacuated. Their endpoints get no
   * new requests until they are restored.
   *
   * @example
   * directory.setEvacuated(new Set([dataCentre]));
   */
  setEvacuated(dataCentres: ReadonlySet<DataCentreId>): void {
    this.evacuated = dataCentres;
    this.index();
  }

  isEvacuated(dataCentre: DataCentreId): boolean {
    return this.evacuated.has(dataCentre);
  }

  /** Evacuated data centres. */
  listEvacuated(): readonly DataCentreId[] {
    return [...this.evacuated];
  }

  /**
   * Endpoints of a service that may get new requests.
   *
   * @example
   * const candidates = directory.findServing(service, nowMs);
   */
  findServing(service: ServiceId, nowMs: number): readonly ServingEndpoint[] {
    this.dropLapsed(nowMs);
    return this.byService.get(service) ?? [];
  }

  find(id: EndpointId): ServingEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /** All that are listed, leaving ones too. */
  readAll(): readonly ServingEndpoint[] {
    return [...this.endpoints.values()];
  }

  private applyOne(change: EndpointChange, nowMs: number): void {
    switch (change.kind) {
      case 'listed':
        this.list(change.endpoint);
        return;
      case 'removed':
        this.vanish(change.id, nowMs);
        return;
      case 'unreadable':
        this.remove(change.id);
        return;
    }
  }

  private list(endpoint: ServingEndpoint): void {
    this.vanished.delete(endpoint.id);
    this.endpoints.set(endpoint.id, endpoint);
  }

  private vanish(id: EndpointId, nowMs: number): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) return;
    if (this.mayHaveLapsed(nowMs) && !endpoint.isLeaving) this.vanished.add(id);
    else this.remove(id);
  }

  private mayHaveLapsed(nowMs: number): boolean {
    return nowMs - this.disturbedAtMs < this.keepVanishedMs;
  }

  private dropLapsed(nowMs: number): void {
    if (this.vanished.size === 0 || this.mayHaveLapsed(nowMs)) return;
    for (const id of this.vanished) this.remove(id);
    this.index();
  }

  private remove(id: EndpointId): void {
    this.vanished.delete(id);
    this.endpoints.delete(id);
  }

  private index(): void {
    this.byService = new Map();
    for (const endpoint of this.endpoints.values()) {
      const isClosed =
        endpoint.isLeaving || this.evacuated.has(endpoint.dataCentre);
      if (isClosed) continue;
      const others = this.byService.get(endpoint.service);
      if (others === undefined) {
        this.byService.set(endpoint.service, [endpoint]);
      } else {
        others.push(endpoint);
      }
    }
  }
}
