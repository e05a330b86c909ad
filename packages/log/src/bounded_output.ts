/** Standard output for log lines that never holds up the process. */

import sonicBoom from 'sonic-boom';

/** What a {@link BoundedOutput} is made from; defaults in the brackets. */
export interface BoundedOutputOptions {
  /** File descriptor (1, standard output). */
  readonly fd?: number;
  /** Bytes kept for a reader that is slow (256 KiB). */
  readonly maxBufferedBytes?: number;
  /** Lines a second; more are left out and counted (300). */
  readonly maxLinesPerS?: number;
  /** How often buffered lines are written (200 ms). */
  readonly flushEveryMs?: number;
  readonly nowMs?: () => number;
}

const STANDARD_OUTPUT = 1;
const DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024;
/** About six times the lines of an instance with 50 requests a second. */
const DEFAULT_MAX_LINES_PER_S = 300;
const DEFAULT_FLUSH_EVERY_MS = 200;
/** Lines are gathered to this size, which saves a system call each. */
const MIN_WRITE_BYTES = 4096;
const SECOND_MS = 1000;

/**
 * Node.js writes to a pipe synchronously: a reader of the logs that stalls would
 * stall every request. Lines go through a buffer of bounded size instead, and
 * what doesn't fit is dropped and counted.
 */
export class BoundedOutput {
  private readonly destination: sonicBoom.SonicBoom;
  private readonly maxLinesPerS: number;
  private readonly nowMs: () => number;
  private secondBeganAtMs = Number.NEGATIVE_INFINITY;
  private linesThisSecond = 0;
  private droppedCount = 0;
  private untoldCount = 0;

  constructor(options: BoundedOutputOptions = {}) {
    this.maxLinesPerS = options.maxLinesPerS ?? DEFAULT_MAX_LINES_PER_S;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.destination = new sonicBoom.SonicBoom({
      fd: options.fd ?? STANDARD_OUTPUT,
      sync: false,
      minLength: MIN_WRITE_BYTES,
      maxLength: options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES,
      periodicFlush: options.flushEveryMs ?? DEFAULT_FLUSH_EVERY_MS,
    });
    this.destination.on('drop', () => this.countDrop());
    // Nobody is left to tell when standard output itself is gone.
    this.destination.on('error', () => this.countDrop());
  }

  /** Lines left out since the start. */
  get dropped(): number {
    return this.droppedCount;
  }

  /**
   * Takes one line with its line end.
   *
   * @example
   * const logger = new Logger({component: 'callers', write: output.write});
   */
  readonly write = (line: string): void => {
    const nowMs = this.nowMs();
    if (nowMs - this.secondBeganAtMs >= SECOND_MS) this.beginSecond(nowMs);
    this.linesThisSecond += 1;
    if (this.linesThisSecond > this.maxLinesPerS) {
      this.countDrop();
      return;
    }
    this.destination.write(line);
  };

  /** Resolves when all that was buffered is written, after {@link close}. */
  async whenClosed(): Promise<void> {
    await new Promise(resolve => this.destination.once('close', resolve));
  }

  /** Writes what is buffered, at the end of the process. */
  close(): void {
    this.destination.end();
  }

  private beginSecond(nowMs: number): void {
    this.secondBeganAtMs = nowMs;
    this.linesThisSecond = 0;
    if (this.untoldCount === 0) return;
    const line = {event: 'log_lines_dropped', count: this.untoldCount};
    this.untoldCount = 0;
    this.destination.write(`${JSON.stringify(line)}\n`);
  }

  private countDrop(): void {
    this.droppedCount += 1;
    this.untoldCount += 1;
  }
}
