/**
 * Records between an entry instance, where requests wait, and the owner of a
 * cell, which decides what runs next. They travel in batches, one frame a tick.
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

/** A request that waits. */
export interface PermitAsk {
  readonly attempt: AttemptId;
  readonly cell: CellId;
  readonly instance: InstanceId;
  readonly clientAccount: ClientAccountId;
  readonly requestClass: RequestClassId;
  readonly tier: number;
  readonly expectedTokens: number;
  /** Time left until its first token is worthless, when the ask was sent. */
  readonly remainingMs: number;
  /** Hash of the prompt's start, for prefix-cache affinity. */
  readonly prefixHash?: string;
  readonly fingerprint: Fingerprint;
  /** It was in flight where an endpoint crashed: must run alone. */
  readonly suspect: boolean;
  readonly cheapAllowed: boolean;
  /** Endpoints that have failed it already. */
  readonly excluded: readonly EndpointId[];
}

/** Leave to run one attempt at one endpoint. */
export interface PermitGrant {
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
}

/** The owner's refusal: the attempt has not run. */
export interface PermitRefusal {
  readonly attempt: AttemptId;
  readonly reason: 'overloaded' | 'deadline_unreachable' | 'no_endpoint';
  readonly retryAfterMs: number;
}

/** How an attempt ended, as the entry instance saw it. */
export type AttemptOutcome =
  'ok' | 'failed' | 'crashed' | 'timeout' | 'cancelled';

/** Gives a permit back, with what was measured. */
export interface PermitRelease {
  readonly attempt: AttemptId;
  readonly cell: CellId;
  readonly endpoint: EndpointId;
  readonly outcome: AttemptOutcome;
  readonly outputTokens: number;
  readonly promptTokens: number;
  /** Absent when no token came. */
  readonly firstTokenMs?: number;
  /** Mean over the attempt; absent with fewer than two tokens. */
  readonly betweenTokensMs?: number;
}

/** Permits that an entry instance may use without asking, while none waits. */
export interface Allotment {
  readonly cell: CellId;
  /** Rises with each change by the same owner. */
  readonly sequence: number;
  /** Tells one life of the owner from the next; 32 bits. */
  readonly term?: number;
  readonly endpoints: ReadonlyArray<{
    readonly endpoint: EndpointId;
    readonly permits: number;
    /** The endpoint's whole limit as learnt, for when no owner is reached. */
    readonly limit?: number;
  }>;
}

/** A permit in use, as told to a new owner. */
export interface PermitInUse {
  readonly attempt: AttemptId;
  readonly cell: CellId;
  readonly endpoint: EndpointId;
  readonly clientAccount: ClientAccountId;
  readonly requestClass: RequestClassId;
  readonly tier: number;
  readonly outputTokens: number;
  /** Begun under an allotment of the owner that is told; false if absent. */
  readonly underAllotment?: boolean;
  /** It must run alone; false if absent. */
  readonly suspect?: boolean;
}
