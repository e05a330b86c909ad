/** Input and output of commands. */

import {text} from 'node:stream/consumers';

/** Streams and environment of the process, replaced in tests. */
export abstract class Terminal {
  /** Writes results, for people or scripts. */
  abstract writeOut(text: string): void;

  /** Writes errors and progress. */
  abstract writeError(text: string): void;

  /** Reads standard input to its end. */
  abstract readInput(): Promise<string>;

  abstract variable(name: string): string | undefined;

  /** Waits before a retry. */
  abstract sleep(delayMs: number): Promise<void>;
}

/** The streams of this process. */
export class ProcessTerminal extends Terminal {
  writeOut(text: string): void {
    process.stdout.write(text);
  }

  writeError(text: string): void {
    process.stderr.write(text);
  }

  readInput(): Promise<string> {
    return text(process.stdin);
  }

  variable(name: string): string | undefined {
    return process.env[name];
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
  }
}
