/**
 * Interface to the platform that the router runs on. The stand-in and the
 * users' own platform have different subclasses.
 */

import type {
  EndpointOrder,
  ListedEndpoint,
  ListedInstance,
  OrderResult,
  ReportResult,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {
  ReadResult,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';

/** A list, or the reason why it could not be read. */
export type ListResult<Item> =
  | {readonly kind: 'listed'; readonly items: readonly Item[]}
  | {readonly kind: 'unavailable'; readonly reason: string};

/** An object of the object store. */
export type ObjectResult =
  | {readonly kind: 'found'; readonly body: Buffer}
  | {readonly kind: 'absent'}
  | {readonly kind: 'unavailable'; readonly reason: string};

/** Result of a put; `unknown` may have taken effect. */
export type PutResult =
  | {readonly kind: 'stored'}
  | {readonly kind: 'unknown'; readonly reason: string};

/**
 * Calls never throw: the kind of each result states what is known. No call is
 * retried here; whether to repeat it is the caller's decision.
 */
export abstract class Platform {
  /** Reads rows by key; absent rows are left out. */
  abstract readRows(keys: readonly string[]): Promise<ReadResult>;

  /** Reads all rows whose key starts with the prefix, in key order. */
  abstract scanRows(prefix: string): Promise<ReadResult>;

  /** Commits all writes if all checks hold. */
  abstract transact(transaction: TableTransaction): Promise<TransactionResult>;

  abstract getObject(key: string): Promise<ObjectResult>;

  abstract putObject(key: string, body: Buffer): Promise<PutResult>;

  /**
   * Orders endpoints. `mayStillSend` is called in the same turn of the event
   * loop in which the bytes are handed to the connection; if it returns false,
   * nothing is sent and the order is `not_sent`. `signal` resets the connection,
   * so that the kernel can't deliver the order after the lease's term.
   */
  abstract orderEndpoints(
    order: EndpointOrder,
    guard: SendGuard,
  ): Promise<OrderResult>;

  /** Reports a sealed window, guarded like an order. */
  abstract reportUsage(
    report: UsageReport,
    guard: SendGuard,
  ): Promise<ReportResult>;

  /** Lists entry instances; the list may be out of date. */
  abstract listInstances(): Promise<ListResult<ListedInstance>>;

  /** Lists endpoints that run or will be started; it may be out of date. */
  abstract listEndpoints(): Promise<ListResult<ListedEndpoint>>;
}

/** Allows a send only within a lease's term. */
export interface SendGuard {
  readonly mayStillSend: () => boolean;
  readonly signal: AbortSignal;
}
