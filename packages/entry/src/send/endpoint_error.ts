/** Errors of attempts at endpoints. */

import {SnipestageError} from '@snipestage/errors/request_error.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {InstanceOptions} from 'modern-errors';

/**
 * - `unreachable`: no connection could be opened.
 * - `broken`: the connection ended before the answer was complete, and the
 *   endpoint may have crashed; or the answer could not be read.
 * - `silent`: no data, or from a plain service no complete answer, arrived
 *   within the time limit.
 * - `refused`: the endpoint answered with an error before doing any work.
 * - `errored`: the endpoint answered with an error.
 * - `mismatched`: the answer was to another request.
 * - `withheld`: nothing was sent, as the endpoint had requested backoff while
 *   the connection was opened.
 * - `cancelled`: the router aborted the attempt.
 */
export type EndpointErrorKind =
  | 'unreachable'
  | 'broken'
  | 'silent'
  | 'refused'
  | 'errored'
  | 'mismatched'
  | 'withheld'
  | 'cancelled';

/** Options of {@link EndpointError}. */
export interface EndpointErrorOptions extends InstanceOptions {
  readonly kind?: EndpointErrorKind;
  readonly verdict?: Verdict;
  readonly status?: number;
  /** Time for which the endpoint wants nothing from this instance. */
  readonly backoffMs?: number;
}

/**
 * The failure of an attempt, with the verdict on whether it may have run.
 *
 * @example
 * throw new EndpointError('No connection.', {
 *   kind: 'unreachable',
 *   verdict: 'not_run',
 * });
 */
export const EndpointError = SnipestageError.subclass('EndpointError', {
  custom: class extends SnipestageError {
    readonly kind: EndpointErrorKind;
    readonly verdict: Verdict;
    readonly status?: number;
    readonly backoffMs?: number;

    constructor(message: string, options: EndpointErrorOptions = {}) {
      super(message, options);
      this.kind = options.kind ?? 'broken';
      this.verdict = options.verdict ?? 'may_have_run';
      this.status = options.status;
      this.backoffMs = options.backoffMs;
    }
  },
});

export type EndpointError = InstanceType<typeof EndpointError>;
