/**
 * Branded ids: strings and numbers with a compile-time name, so that the
 * compiler rejects an id of one kind where another kind is expected.
 */

declare const brand: unique symbol;

/** A `Base` that carries the compile-time name `Name`. */
export type Branded<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};

/** Name of an entry instance, from its settings. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** Identifies one run of an instance: a new random value at each start. */
export type Incarnation = Branded<string, 'Incarnation'>;
export type DataCentreId = Branded<string, 'DataCentreId'>;
export type RegionId = Branded<string, 'RegionId'>;
export type ClientAccountId = Branded<string, 'ClientAccountId'>;
export type RequestClassId = Branded<string, 'RequestClassId'>;
export type ModelId = Branded<string, 'ModelId'>;
export type ServiceId = Branded<string, 'ServiceId'>;
export type EndpointId = Branded<string, 'EndpointId'>;
/** Version of the software of an endpoint, not of its model's weights. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>;
/** A group of endpoints of one model or service in one data centre. */
export type CellId = Branded<string, 'CellId'>;
export type RequestId = Branded<string, 'RequestId'>;
/** One attempt to run a request at an endpoint; each retry is a new one. */
export type AttemptId = Branded<string, 'AttemptId'>;
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** Hash of an API key: `sha256:` and 64 hexadecimal digits. */
export type KeyHash = Branded<string, 'KeyHash'>;
/** Hash of the client account and the content of a request. */
export type Fingerprint = Branded<string, 'Fingerprint'>;
/** Identifies a part of a prompt; different requests may share parts. */
export type PromptPartId = Branded<string, 'PromptPartId'>;
export type OrderId = Branded<string, 'OrderId'>;
export type LeaseName = Branded<string, 'LeaseName'>;
export type UsageWindowId = Branded<string, 'UsageWindowId'>;

/** Number of a change ticket, chosen by the operator; an integer from 1. */
export type ChangeTicketNumber = Branded<number, 'ChangeTicketNumber'>;
/** Number of accepted change tickets; 0 is the empty configuration. */
export type Revision = Branded<number, 'Revision'>;
/** Increases with each new holder of a lease. */
export type FencingToken = Branded<number, 'FencingToken'>;

/**
 * Brands a plain value; the value itself is not checked.
 *
 * @example
 * const id = brandAs<EndpointId>('akl-a-repair-1');
 */
export function brandAs<T extends Branded<string | number, string>>(
  value: T extends string ? string : number,
): T {
  return value as T;
}
