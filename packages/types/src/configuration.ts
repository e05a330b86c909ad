/**
 * The objects of the configuration. Change tickets create, replace and remove
 * them; an object is always replaced as a whole.
 */

import type {
  ChangeTicketNumber,
  ClientAccountId,
  DataCentreId,
  EndpointId,
  KeyHash,
  ModelId,
  RegionId,
  RequestClassId,
  Revision,
  ServiceId,
} from './ids.js';

/**
 * A place where instances and endpoints run. A network fault can cut it off
 * from all other data centres as a whole.
 */
export interface DataCentre {
  readonly id: DataCentreId;
  readonly region: RegionId;
  /** Time by which all its endpoints must be gone, in ms since the epoch. */
  readonly leaveByEpochMs?: number;
  /** While true, its endpoints get no new requests. */
  readonly evacuated?: boolean;
}

/** A service level: priority tier, latency targets and deadline. */
export interface RequestClass {
  readonly id: RequestClassId;
  /** Priority; requests of tier 0 are served first. */
  readonly tier: number;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
  /** From the arrival of a request to the last byte of its answer. */
  readonly deadlineMs: number;
  /** Share of a cell's dispatches reserved for the class, 0 to 0.2. */
  readonly guaranteedShare: number;
  /** Whether its requests may run on endpoints of the kind `cheap`. */
  readonly cheapEndpointsAllowed: boolean;
}

/** A customer, identified by its API keys. */
export interface ClientAccount {
  readonly id: ClientAccountId;
  readonly keyHashes: readonly KeyHash[];
  readonly requestClasses: readonly RequestClassId[];
  readonly defaultRequestClass: RequestClassId;
  /**
   * How long instances that can no longer confirm their configuration go on
   * serving the account; a withdrawal of its keys would not reach them. No limit
   * if absent.
   */
  readonly serveCutOffForMs?: number;
  /** Most concurrent requests at one entry instance; no limit if absent. */
  readonly maxInFlightPerInstance?: number;
}

export interface Model {
  readonly id: ModelId;
  /** Expected length of an answer, unless `max_tokens` asks for less. */
  readonly typicalOutputTokens: number;
}

/** An operation of a plain service, matched by method and path prefix. */
export interface ServiceOperation {
  readonly method: string;
  readonly pathPrefix: string;
  /** Whether it may safely run more than once. */
  readonly idempotent: boolean;
}

/** A plain HTTP service, as opposed to a model. */
export interface Service {
  readonly id: ServiceId;
  /** The first match applies; without a match a call is not idempotent. */
  readonly operations: readonly ServiceOperation[];
  readonly timeoutMs: number;
}

/** `cheap` endpoints cost less, but can be reclaimed at any time. */
export type EndpointKind = 'regular' | 'cheap';

/** The model or service that an endpoint serves. */
export type EndpointTarget =
  | {readonly kind: 'model'; readonly model: ModelId}
  | {readonly kind: 'service'; readonly service: ServiceId};

/** A back end in a data centre: a model engine or a plain service. */
export interface Endpoint {
  readonly id: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly kind: EndpointKind;
  /** Scheme, IP address and port. */
  readonly url: string;
  readonly serves: EndpointTarget;
  /** Most concurrent requests that the endpoint is built for. */
  readonly maxConcurrency: number;
  /** True while it drains: it gets no new requests. */
  readonly leaving: boolean;
}

/** Limits and prices for ordering endpoints of a model in a data centre. */
export interface EndpointPool {
  /** `<data centre>/<model>`. */
  readonly id: string;
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly minRegular: number;
  readonly maxRegular: number;
  readonly maxCheap: number;
  readonly maxConcurrencyPerEndpoint: number;
  readonly regularPricePerHour: number;
  readonly cheapPricePerHour: number;
  /** Whether its engines reject orders with an outdated fencing token. */
  readonly enginesCheckFencing: boolean;
}

/** The type of each kind of object. */
export interface ConfigurationObjects {
  data_centre: DataCentre;
  request_class: RequestClass;
  client_account: ClientAccount;
  model: Model;
  service: Service;
  endpoint: Endpoint;
  endpoint_pool: EndpointPool;
}

export type ObjectKind = keyof ConfigurationObjects;

/** `<kind>/<id>`. */
export type ObjectPath = `${ObjectKind}/${string}`;

/** Sets the state of one object; `null` removes it. */
export type ObjectChange = {
  [Kind in ObjectKind]: {
    readonly kind: Kind;
    readonly id: string;
    readonly state: ConfigurationObjects[Kind] | null;
  };
}[ObjectKind];

/** An operator's numbered request, with the new state of each changed object. */
export interface ChangeTicket {
  readonly number: ChangeTicketNumber;
  readonly author: string;
  readonly reason: string;
  readonly changes: readonly ObjectChange[];
}

/** All objects in force at one revision, indexed by id. */
export interface Configuration {
  readonly revision: Revision;
  readonly dataCentres: ReadonlyMap<string, DataCentre>;
  readonly requestClasses: ReadonlyMap<string, RequestClass>;
  readonly clientAccounts: ReadonlyMap<string, ClientAccount>;
  readonly models: ReadonlyMap<string, Model>;
  readonly services: ReadonlyMap<string, Service>;
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  readonly endpointPools: ReadonlyMap<string, EndpointPool>;
}
