/** The errors that the project throws. */

import type {Refusal, RefusalCode} from '@snipestage/types/refusal.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import ModernError, {type InstanceOptions} from 'modern-errors';

/** Root of all errors that the project throws. */
export const SnipestageError = ModernError.subclass('SnipestageError');

/** Options of {@link RequestError}. */
export interface RequestErrorOptions extends InstanceOptions {
  readonly code?: RefusalCode;
  readonly verdict?: Verdict;
  readonly retryAfterMs?: number;
}

/**
 * Ends a request with a refusal. By default the code is `internal` and the
 * verdict `may_have_run`, since nothing is known of where the error arose.
 *
 * @example
 * throw new RequestError('No endpoint of the model is up.', {
 *   code: 'no_endpoint',
 *   verdict: 'not_run',
 *   retryAfterMs: 2000,
 * });
 */
export const RequestError = SnipestageError.subclass('RequestError', {
  custom: class extends SnipestageError {
    readonly refusal: Refusal;

    constructor(message: string, options: RequestErrorOptions = {}) {
      super(message, options);
      this.refusal = {
        code: options.code ?? 'internal',
        message,
        verdict: options.verdict ?? 'may_have_run',
        retryAfterMs: options.retryAfterMs,
      };
    }
  },
});

export type RequestError = InstanceType<typeof RequestError>;

/** One fault of an input and its place. */
export interface Fault {
  /** Path of the field, such as `changes[2].state.tier`. */
  readonly path: string;
  readonly message: string;
}

/** Options of {@link InputError}. */
export interface InputErrorOptions extends InstanceOptions {
  readonly faults?: readonly Fault[];
}

/**
 * Invalid settings, tickets or arguments, which a person has to correct; lists
 * all faults found.
 *
 * @example
 * throw new InputError('The settings are not valid.', {
 *   faults: [{path: 'callers.port', message: 'must be 1 to 65535'}],
 * });
 */
export const InputError = SnipestageError.subclass('InputError', {
  custom: class extends SnipestageError {
    readonly faults: readonly Fault[];

    constructor(message: string, options: InputErrorOptions = {}) {
      super(message, options);
      this.faults = options.faults ?? [];
    }
  },
});

export type InputError = InstanceType<typeof InputError>;
