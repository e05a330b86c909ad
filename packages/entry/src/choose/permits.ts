/** Permits to run attempts at endpoints. */

import type {AttemptLimit} from '@snipestage/policy/stop_admission.js';
import type {
  ClientAccount,
  Endpoint,
  EndpointTarget,
  RequestClass,
} from '@snipestage/types/configuration.js';
import type {
  AttemptId,
  EndpointId,
  Fingerprint,
} from '@snipestage/types/ids.js';
import type {AttemptOutcome} from '@snipestage/types/permits.js';

/** Request for a permit to run one attempt. */
export interface PermitRequest {
  readonly attempt: AttemptId;
  readonly target: EndpointTarget;
  readonly clientAccount: ClientAccount;
  readonly requestClass: RequestClass;
  readonly expectedTokens: number;
  /** Time within which a start is still useful. */
  readonly remainingMs: number;
  /** Latest end of the request: a time of the monotonic clock, or a timeout. */
  readonly limit: AttemptLimit;
  /**
   * Whether an earlier attempt of the request may have run; false if absent.
   */
  readonly mayHaveRun?: boolean;
  readonly prefixHash?: string;
  readonly fingerprint: Fingerprint;
  /**
   * Whether the request was in flight at a crash and must run alone; false if
   * absent.
   */
  readonly suspect?: boolean;
  /** Whether the request can safely run more than once. */
  readonly repeatable: boolean;
  readonly excluded: readonly EndpointId[];
}

/** Measurements of an attempt that has ended. */
export interface AttemptReport {
  readonly outcome: AttemptOutcome;
  /**
   * Whether the connection broke before the answer was complete, as when the
   * endpoint crashes.
   */
  readonly connectionBroke?: boolean;
  /** Time for which the endpoint wants nothing from this instance. */
  readonly backoffMs?: number;
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
}

/** Held while an attempt runs; must be released exactly once. */
export interface Permit {
  readonly endpoint: Endpoint;
  /** Whether the endpoint still takes requests of this instance (true). */
  readonly mayStillSend?: () => boolean;
  /** Reports how many output tokens have been received so far. */
  progress(outputTokens: number): void;
  release(report: AttemptReport): void;
}

/** Grants permits. */
export abstract class Permits {
  /**
   * Waits for a permit.
   *
   * @throws RequestError with verdict `not_run` when refused, or when the
   * signal aborts while it waits.
   */
  abstract acquire(
    request: PermitRequest,
    signal: AbortSignal,
  ): Promise<Permit>;
}
