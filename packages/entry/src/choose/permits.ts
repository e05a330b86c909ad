/** Leave to run an attempt at an endpoint. */

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

/** What an attempt needs leave for. */
export interface PermitRequest {
  readonly attempt: AttemptId;
  readonly target: EndpointTarget;
  readonly clientAccount: ClientAccount;
  readonly requestClass: RequestClass;
  readonly expectedTokens: number;
  /** Time left until starting it is worthless. */
  readonly remainingMs: number;
  /** When the request has ended at the latest, by a monotonic clock. */
  readonly limit: AttemptLimit;
  /** Whether an earlier attempt of it may have run; false if absent. */
  readonly mayHaveRun?: boolean;
  readonly prefixHash?: string;
  readonly fingerprint: Fingerprint;
  /** It was in flight at a crash and must run alone; false if absent. */
  readonly suspect?: boolean;
  /** Whether a repetition does no harm. */
  readonly repeatable: boolean;
  readonly excluded: readonly EndpointId[];
}

/** What was measured of an attempt when it ended. */
export interface AttemptReport {
  readonly outcome: AttemptOutcome;
  /** The connection ended in the middle, as when the endpoint crashes. */
  readonly brokeOff?: boolean;
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
}

/** Held while an attempt runs; must be released once. */
export interface Permit {
  readonly endpoint: Endpoint;
  /** Tells how many tokens have come so far. */
  progress(outputTokens: number): void;
  release(report: AttemptReport): void;
}

/** Gives out permits. */
export abstract class Permits {
  /**
   * Waits for leave to run.
   *
   * @throws RequestError with verdict `not_run` when refused, or when the
   * signal aborts while it waits.
   */
  abstract acquire(
    request: PermitRequest,
    signal: AbortSignal,
  ): Promise<Permit>;
}
