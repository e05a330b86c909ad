/** Prints the results and errors of a command, for people or for scripts. */

import type {Fault} from '@snipestage/errors/request_error.js';
import type {ExitCode} from '../exit_codes.js';
import type {Terminal} from '../terminal.js';

/** An error as it is printed. */
export interface ReportedError {
  readonly message: string;
  readonly exitCode: ExitCode;
  readonly faults: readonly Fault[];
}

/** One way of printing. */
export abstract class Reporter {
  /** Prints a result: its data to scripts, the text to people. */
  abstract result(data: unknown, text: string): void;

  abstract error(error: ReportedError): void;

  /** Says what is going on, where a person would otherwise wait in the dark. */
  abstract progress(text: string): void;
}

/** Results on standard output, all else on standard error. */
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

/** One JSON document on standard output, whether it went well or not. */
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
