/**
 * Branded ids: strings and numbers that the compiler does not let one mistake
 * for another.
 */

declare const brand: unique symbol;

/** A `Base` that carries the compile-time name `Name`. */
export type Branded<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};

/** One entry instance, by the name its settings give it. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** One life of an instance: a new random value at each start. */
export type Incarnation = Branded<string, 'Incarnation'>;
export type DataCentreId = Branded<string, 'DataCentreId'>;
export type RegionId = Branded<string, 'RegionId'>;
export type ClientAccountId = Branded<string, 'ClientAccountId'>;
export type RequestClassId = Branded<string, 'RequestClassId'>;
export type ModelId = Branded<string, 'ModelId'>;
export type ServiceId = Branded<string, 'ServiceId'>;
export type EndpointId = Branded<string, 'EndpointId'>;
/** A group of endpoints of one model or service in one data centre. */
export type CellId = Branded<string, 'CellId'>;
export type RequestId = Branded<string, 'RequestId'>;
/** One sending of a request to an endpoint; a retry is a new attempt. */
export type AttemptId = Branded<string, 'AttemptId'>;
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** `sha256:` and 64 hexadecimal digits, see {@link KeyHash} use in accounts. */
export type KeyHash = Branded<string, 'KeyHash'>;
/** Hash of client account and request content. */
export type Fingerprint = Branded<string, 'Fingerprint'>;
export type OrderId = Branded<string, 'OrderId'>;
export type LeaseName = Branded<string, 'LeaseName'>;
export type UsageWindowId = Branded<string, 'UsageWindowId'>;

/** Number of a change ticket, chosen by the operator; whole, 1 or more. */
export type ChangeTicketNumber = Branded<number, 'ChangeTicketNumber'>;
/** Counts accepted change tickets; 0 is the empty configuration. */
export type Revision = Branded<number, 'Revision'>;
/** Rises with each new holder of a lease. */
export type FencingToken = Branded<number, 'FencingToken'>;

/**
 * Gives a checked plain value its brand.
 *
 * @example
 * const id = brandAs<EndpointId>('akl-a-repair-1');
 */
export function brandAs<T extends Branded<string | number, string>>(
  value: T extends string ? string : number,
): T {
  return value as T;
}
