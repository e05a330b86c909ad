/**
 * The configuration: every object that change tickets create, replace or
 * remove. Objects are replaced whole.
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

/** Instances and endpoints that can be cut off from all others as a whole. */
export interface DataCentre {
  readonly id: DataCentreId;
  readonly region: RegionId;
  /** By when every endpoint must have left, as milliseconds since the epoch. */
  readonly leaveByEpochMs?: number;
  /** Its endpoints get no new requests until it is restored (false). */
  readonly evacuated?: boolean;
}

/** A service level: its place in the priority order and its targets. */
export interface RequestClass {
  readonly id: RequestClassId;
  /** 0 is served first. */
  readonly tier: number;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
  /** From arrival to the last byte. */
  readonly deadlineMs: number;
  /** Share of a cell's dispatches kept for the class, 0 to 0.2. */
  readonly guaranteedShare: number;
  /** Whether its requests may run on endpoints that vanish at any time. */
  readonly cheapEndpointsAllowed: boolean;
}

/** A customer that calls with its own keys. */
export interface ClientAccount {
  readonly id: ClientAccountId;
  readonly keyHashes: readonly KeyHash[];
  readonly requestClasses: readonly RequestClassId[];
  readonly defaultRequestClass: RequestClassId;
  /** How long a cut-off data centre goes on serving it; no limit if absent. */
  readonly serveCutOffForMs?: number;
  /** Most requests at once at one entry instance; no limit if absent. */
  readonly maxInFlightPerInstance?: number;
}

export interface Model {
  readonly id: ModelId;
  /** First guess of an answer's length, until one has been measured. */
  readonly typicalOutputTokens: number;
}

/** A call of a plain service, by method and the start of its path. */
export interface ServiceOperation {
  readonly method: string;
  readonly pathPrefix: string;
  /** Whether running it twice does no harm. */
  readonly idempotent: boolean;
}

/** A plain service beside the engines. */
export interface Service {
  readonly id: ServiceId;
  /** The first that matches counts; none means not idempotent. */
  readonly operations: readonly ServiceOperation[];
  readonly timeoutMs: number;
}

/** `cheap` ones cost less and can be reclaimed at any time. */
export type EndpointKind = 'regular' | 'cheap';

/** What an endpoint serves. */
export type EndpointTarget =
  | {readonly kind: 'model'; readonly model: ModelId}
  | {readonly kind: 'service'; readonly service: ServiceId};

/** One back end that a data centre runs. */
export interface Endpoint {
  readonly id: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly kind: EndpointKind;
  /** Scheme, IP number and port. */
  readonly url: string;
  readonly serves: EndpointTarget;
  /** Most requests at once that the endpoint is built for. */
  readonly maxConcurrency: number;
  /** Set when it is to leave: it gets no new work. */
  readonly leaving: boolean;
}

/** How many endpoints of a model the platform may be asked for. */
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
  /** Whether its engines refuse orders with an old fencing token. */
  readonly enginesCheckFencing: boolean;
}

/** Each kind of object with its type. */
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

/** The new state of one object; `null` removes it. */
export type ObjectChange = {
  [Kind in ObjectKind]: {
    readonly kind: Kind;
    readonly id: string;
    readonly state: ConfigurationObjects[Kind] | null;
  };
}[ObjectKind];

/** A numbered request of an operator, with the whole new state it touches. */
export interface ChangeTicket {
  readonly number: ChangeTicketNumber;
  readonly author: string;
  readonly reason: string;
  readonly changes: readonly ObjectChange[];
}

/** All objects in force at one revision, by id. */
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
