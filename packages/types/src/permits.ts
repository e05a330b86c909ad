/**
 * Records exchanged between entry instances, which queue requests, and the owner
 * of a cell, which decides which request runs next. They are sent in batches,
 * one frame per tick.
 */

import type {
  AttemptId,
  CellId,
  ClientAccountId,
  EndpointId,
  Fingerprint,
  InstanceId,
  RequestClassId,
} from './ids.js';

/** Asks the owner of a cell for a permit for a waiting request. */
export interface CellPermitRequest {
  readonly attempt: AttemptId;
  readonly cell: CellId;
  readonly instance: InstanceId;
  readonly clientAccount: ClientAccountId;
  readonly requestClass: RequestClassId;
  readonly tier: number;
  readonly expectedTokens: number;
  /** Time left, when this was sent, until a first token would be too late. */
  readonly remainingMs: number;
  /** Hash of the start of the prompt, for prefix-cache affinity. */
  readonly prefixHash?: string;
  readonly fingerprint: Fingerprint;
  /** It was in flight at an endpoint that crashed, so it must run alone. */
  readonly suspect: boolean;
  readonly cheapAllowed: boolean;
  /** Endpoints that must not be chosen, since earlier attempts failed there. */
  readonly excluded: readonly EndpointId[];
}

/** Permission to run one attempt at one endpoint. */
export interface PermitGrant {
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
}

/** The owner refuses a permit; the attempt has not run. */
export interface PermitRefusal {
  readonly attempt: AttemptId;
  readonly reason: 'overloaded' | 'deadline_unreachable' | 'no_endpoint';
  readonly retryAfterMs: number;
}

/** How an attempt ended, as observed by the entry instance. */
export type AttemptOutcome =
  'ok' | 'failed' | 'crashed' | 'timeout' | 'cancelled';

/** Returns a permit, with the measurements of the attempt. */
export interface PermitRelease {
  readonly attempt: AttemptId;
  readonly cell: CellId;
  readonly endpoint: EndpointId;
  readonly outcome: AttemptOutcome;
  readonly outputTokens: number;
  readonly promptTokens: number;
  /** Absent if no token arrived. */
  readonly firstTokenMs?: number;
  /** Mean over the attempt; absent if fewer than two tokens arrived. */
  readonly betweenTokensMs?: number;
}

/**
 * Permits that an entry instance may use without asking the owner. An owner
 * allots permits only while no request waits in the cell.
 */
export interface Allotment {
  readonly cell: CellId;
  /** Increases with each change by the same owner. */
  readonly sequence: number;
  /** Distinguishes the incarnations of the owner; 32 bits. */
  readonly term?: number;
  readonly endpoints: ReadonlyArray<{
    readonly endpoint: EndpointId;
    readonly permits: number;
    /**
     * The endpoint's concurrency limit over all instances, as the owner has
     * learnt it; instances share it when they reach no owner.
     */
    readonly limit?: number;
  }>;
}

/** A permit in use, as an instance reports it to the owner of the cell. */
export interface PermitInUse {
  readonly attempt: AttemptId;
  readonly cell: CellId;
  readonly endpoint: EndpointId;
  readonly clientAccount: ClientAccountId;
  readonly requestClass: RequestClassId;
  readonly tier: number;
  readonly outputTokens: number;
  /**
   * Whether it started under an allotment of the owner that gets the report. If
   * absent, the owner keeps the value it has, or assumes false.
   */
  readonly underAllotment?: boolean;
  /** Whether it must run alone; false if absent. */
  readonly suspect?: boolean;
}
