/** Where a command reads and writes. */

import {text} from 'node:stream/consumers';

/** Streams and environment of the process, replaced in tests. */
export abstract class Terminal {
  /** Results, for people or scripts. */
  abstract writeOut(text: string): void;

  /** What went wrong and what is going on. */
  abstract writeError(text: string): void;

  /** All of standard input. */
  abstract readInput(): Promise<string>;

  abstract variable(name: string): string | undefined;

  /** Waits before something is tried again. */
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
