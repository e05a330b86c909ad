/** Prints the results and errors of a command, for people or for scripts. */

import type {Fault} from '@snipestage/errors/request_error.js';
import type {ExitCode} from '../exit_codes.js';
import type {Terminal} from '../terminal.js';

/** An error to print. */
export interface ReportedError {
  readonly message: string;
  readonly exitCode: ExitCode;
  readonly faults: readonly Fault[];
}

/** Output format of a command. */
export abstract class Reporter {
  /** Prints a result: its data for scripts, or the text for people. */
  abstract result(data: unknown, text: string): void;

  abstract error(error: ReportedError): void;

  /** Prints what a command is doing while a person waits for its result. */
  abstract progress(text: string): void;
}

/** Prints text: results on standard output, all else on standard error. */
export class TextReporter extends Reporter {
  constructor(private readonly terminal: Terminal) {
    super();
  }

  result(_data: unknown, text: string): void {
    this.terminal.writeOut(text);
  }

  error({message, faults}: ReportedError): void {
    const lines = faults.map(fault =>
      fault.path === ''
        ? `  ${fault.message}\n`
        : `  ${fault.path}: ${fault.message}\n`,
    );
    this.terminal.writeError(`${message}\n${lines.join('')}`);
  }

  progress(text: string): void {
    this.terminal.writeError(text);
  }
}

/** Prints one JSON document on standard output, a result or an error. */
export class JsonReporter extends Reporter {
  constructor(private readonly terminal: Terminal) {
    super();
  }

  result(data: unknown): void {
    this.terminal.writeOut(`${JSON.stringify(data)}\n`);
  }

  error(error: ReportedError): void {
    this.terminal.writeOut(`${JSON.stringify({error})}\n`);
  }

  progress(): void {}
}
