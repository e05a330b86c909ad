/** How an attempt at an endpoint can fail. */

import {SnipestageError} from '@snipestage/errors/request_error.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {InstanceOptions} from 'modern-errors';

/**
 * - `unreachable`: no connection came about.
 * - `broken`: the connection ended before the answer did; the endpoint may
 *   have crashed.
 * - `silent`: nothing came within the time limit.
 * - `refused`: the endpoint answered with an error before doing any work.
 * - `errored`: the endpoint answered with an error.
 * - `mismatched`: the answer was to another request.
 * - `cancelled`: we ended it.
 */
export type EndpointErrorKind =
  | 'unreachable'
  | 'broken'
  | 'silent'
  | 'refused'
  | 'errored'
  | 'mismatched'
  | 'cancelled';

/** What an {@link EndpointError} is made from. */
export interface EndpointErrorOptions extends InstanceOptions {
  readonly kind?: EndpointErrorKind;
  readonly verdict?: Verdict;
  readonly status?: number;
}

/**
 * An attempt that failed, and whether it may have run.
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

    constructor(message: string, options: EndpointErrorOptions = {}) {
      super(message, options);
      this.kind = options.kind ?? 'broken';
      this.verdict = options.verdict ?? 'may_have_run';
      this.status = options.status;
    }
  },
});

export type EndpointError = InstanceType<typeof EndpointError>;
