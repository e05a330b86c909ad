/** Error that ends a command with a message and an exit code. */

import {SnipestageError} from '@snipestage/errors/request_error.js';
import type {InstanceOptions} from 'modern-errors';
import {EXIT_INTERNAL, type ExitCode} from './exit_codes.js';

/** Options of {@link CommandError}. */
export interface CommandErrorOptions extends InstanceOptions {
  readonly exitCode?: ExitCode;
}

/**
 * The message states what is wrong, where, and what to do next.
 *
 * @example
 * throw new CommandError('No operator key. Set SNIPESTAGE_OPERATOR_KEY.', {
 *   exitCode: EXIT_USAGE,
 * });
 */
export const CommandError = SnipestageError.subclass('CommandError', {
  custom: class extends SnipestageError {
    readonly exitCode: ExitCode;

    constructor(message: string, options: CommandErrorOptions = {}) {
      super(message, options);
      this.exitCode = options.exitCode ?? EXIT_INTERNAL;
    }
  },
});

export type CommandError = InstanceType<typeof CommandError>;
