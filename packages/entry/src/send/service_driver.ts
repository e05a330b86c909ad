/** Interface between the router and plain services. */

import type {AttemptId} from '@snipestage/types/ids.js';
import type {PlainHeaders} from './forwarded_headers.js';

/** One attempt at a service. */
export interface ServiceCall {
  readonly url: string;
  readonly method: string;
  /** Path and query at the service. */
  readonly path: string;
  readonly headers: PlainHeaders;
  readonly body: Buffer;
  readonly attempt: AttemptId;
  readonly signal: AbortSignal;
  /** Asked once the connection is open, before anything is sent. */
  readonly mayStillSend?: () => boolean;
  readonly timeoutMs: number;
}

/** A service's complete answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: PlainHeaders;
  readonly body: Buffer;
  /** Time for which the service wants nothing from this instance. */
  readonly backoffMs?: number;
}

/** Makes attempts at one kind of plain service. */
export abstract class ServiceDriver {
  /**
   * Makes one attempt.
   *
   * @throws EndpointError when no complete answer to this attempt arrived.
   */
  abstract call(call: ServiceCall): Promise<ServiceAnswer>;
}
