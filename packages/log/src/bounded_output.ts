/** Output of log lines that never blocks the process. */

import sonicBoom from 'sonic-boom';

/** Options of {@link BoundedOutput}; defaults in brackets. */
export interface BoundedOutputOptions {
  /** File descriptor (1, standard output). */
  readonly fd?: number;
  /** Bytes buffered for a slow reader; more are dropped (256 KiB). */
  readonly maxBufferedBytes?: number;
  /** Lines per second; more are dropped and counted (300). */
  readonly maxLinesPerS?: number;
  /** How often buffered lines are written, in ms (200). */
  readonly flushEveryMs?: number;
  readonly nowMs?: () => number;
}

const STANDARD_OUTPUT = 1;
const DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024;
/** About six times the lines of an instance with 50 requests per second. */
const DEFAULT_MAX_LINES_PER_S = 300;
const DEFAULT_FLUSH_EVERY_MS = 200;
/** Lines are collected up to this size, which saves a system call per line. */
const MIN_WRITE_BYTES = 4096;
const SECOND_MS = 1000;

/**
 * Writes log lines through a buffer of bounded size; lines that don't fit are
 * dropped and counted. Without it, Node.js would write to a pipe synchronously,
 * and a stalled reader of the logs would stall every request.
 */
export class BoundedOutput {
  private readonly destination: sonicBoom.SonicBoom;
  private readonly maxLinesPerS: number;
  private readonly nowMs: () => number;
  private secondBeganAtMs = Number.NEGATIVE_INFINITY;
  private linesThisSecond = 0;
  private droppedCount = 0;
  private unreportedCount = 0;

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
    // If the output itself fails, there is nowhere to log the error; it is only
    // counted.
    this.destination.on('error', () => this.countDrop());
  }

  /** Lines dropped since the start. */
  get dropped(): number {
    return this.droppedCount;
  }

  /**
   * Writes one line, which includes its line end; may drop it.
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

  /** Resolves when {@link close} has written all buffered lines. */
  async whenClosed(): Promise<void> {
    await new Promise(resolve => this.destination.once('close', resolve));
  }

  /** Writes the buffered lines at once, as the process is about to end. */
  flush(): void {
    this.destination.flushSync();
  }

  /** Writes the buffered lines and closes the output. */
  close(): void {
    this.destination.end();
  }

  private beginSecond(nowMs: number): void {
    this.secondBeganAtMs = nowMs;
    this.linesThisSecond = 0;
    if (this.unreportedCount === 0) return;
    const line = {event: 'log_lines_dropped', count: this.unreportedCount};
    this.unreportedCount = 0;
    this.destination.write(`${JSON.stringify(line)}\n`);
  }

  private countDrop(): void {
    this.droppedCount += 1;
    this.unreportedCount += 1;
  }
}
