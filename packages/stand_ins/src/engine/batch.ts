/**
 * Continuous batching: each step produces one token for every running sequence
 * that does not hang.
 */

import type {Sequence} from './sequence.js';

/** Size and speed of a {@link Batch}. */
export interface BatchOptions {
  readonly maxBatch?: number;
  /** Time between tokens of a sequence that runs alone. */
  readonly betweenTokensMs?: number;
  /** Added to `betweenTokensMs` for each further running sequence. */
  readonly betweenTokensPerRunningMs?: number;
  /** Time to prefill one prompt token that is not cached. */
  readonly prefillPerTokenMs?: number;
}

/** Callbacks of a {@link Batch}. */
export interface BatchHooks {
  /** Returns the prompt tokens to prefill when a sequence starts to run. */
  readonly countPrefillTokens: (sequence: Sequence) => number;
  readonly onToken: (sequence: Sequence) => void;
  readonly onFinished: (sequence: Sequence) => void;
  /** A sequence crashes its engine; the hook must clear the batch. */
  readonly onPoison: () => void;
}

const DEFAULT_MAX_BATCH = 16;
const DEFAULT_BETWEEN_TOKENS_MS = 10;
const DEFAULT_PER_RUNNING_MS = 0.5;
const DEFAULT_PREFILL_PER_TOKEN_MS = 0.05;

/** Queues sequences by priority, then arrival, and runs them in steps. */
export class Batch {
  /** Multiplies the duration of each step, to simulate a slow engine. */
  slowFactor = 1;
  private readonly options: Required<BatchOptions>;
  private readonly hooks: BatchHooks;
  private readonly waitingSequences: Sequence[] = [];
  private readonly runningSequences = new Set<Sequence>();
  private timer: NodeJS.Timeout | undefined;

  constructor(options: BatchOptions, hooks: BatchHooks) {
    this.hooks = hooks;
    this.options = {
      maxBatch: options.maxBatch ?? DEFAULT_MAX_BATCH,
      betweenTokensMs: options.betweenTokensMs ?? DEFAULT_BETWEEN_TOKENS_MS,
      betweenTokensPerRunningMs:
        options.betweenTokensPerRunningMs ?? DEFAULT_PER_RUNNING_MS,
      prefillPerTokenMs:
        options.prefillPerTokenMs ?? DEFAULT_PREFILL_PER_TOKEN_MS,
    };
  }

  get running(): number {
    return this.runningSequences.size;
  }

  get waiting(): number {
    return this.waitingSequences.length;
  }

  /**
   * Queues a sequence behind those of its priority; priority 0 runs first.
   *
   * @example
   * batch.add(sequence);
   */
  add(sequence: Sequence): void {
    const priority = sequence.options.priority;
    const place = this.waitingSequences.findIndex(
      other => other.options.priority > priority,
    );
    const at = place === -1 ? this.waitingSequences.length : place;
    this.waitingSequences.splice(at, 0, sequence);
    if (this.timer === undefined) this.scheduleStep();
  }

  /** Removes a sequence; returns false when it is not in the batch. */
  remove(sequence: Sequence): boolean {
    const at = this.waitingSequences.indexOf(sequence);
    if (at >= 0) this.waitingSequences.splice(at, 1);
    return this.runningSequences.delete(sequence) || at >= 0;
  }

  /** Removes and returns all sequences and stops stepping, as a crash does. */
  clear(): Sequence[] {
    clearTimeout(this.timer);
    this.timer = undefined;
    const dropped = [...this.runningSequences, ...this.waitingSequences];
    this.waitingSequences.length = 0;
    this.runningSequences.clear();
    return dropped;
  }

  private scheduleStep(): void {
    const prefillMs = this.admitWaiting() * this.options.prefillPerTokenMs;
    if (this.running === 0) {
      this.timer = undefined;
      return;
    }
    const {betweenTokensMs, betweenTokensPerRunningMs} = this.options;
    const others = this.running - 1;
    const stepMs =
      betweenTokensMs + betweenTokensPerRunningMs * others + prefillMs;
    this.timer = setTimeout(() => this.step(), stepMs * this.slowFactor);
  }

  private admitWaiting(): number {
    let prefillTokens = 0;
    while (this.running < this.options.maxBatch) {
      const next = this.waitingSequences.shift();
      if (next === undefined) break;
      this.runningSequences.add(next);
      prefillTokens += this.hooks.countPrefillTokens(next);
    }
    return prefillTokens;
  }

  private step(): void {
    for (const sequence of this.runningSequences) {
      if (sequence.crashesNow) {
        this.hooks.onPoison();
        return;
      }
      if (sequence.isHung) continue;
      sequence.produceToken();
      this.hooks.onToken(sequence);
      if (sequence.isFinished) {
        this.runningSequences.delete(sequence);
        this.hooks.onFinished(sequence);
      }
    }
    this.scheduleStep();
  }
}
