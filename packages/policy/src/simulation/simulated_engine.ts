/** A model engine that batches continuously, under a simulated clock. */

import type {AttemptId} from '@snipestage/types/ids.js';

/** How long a step of the engine takes. */
export interface EngineSpeed {
  readonly baseStepMs: number;
  /** Added for each request of the batch. */
  readonly perRequestMs: number;
  /**
   * Added for each request beyond the knee as well, as memory becomes short.
   */
  readonly beyondKneeMs: number;
  readonly kneeBatch: number;
  /** Added per prompt token to the step in which a prompt is read. */
  readonly perPromptTokenMs: number;
  /** Largest batch; further requests wait inside the engine. */
  readonly maxBatch: number;
  /**
   * Number of prompt prefixes in the cache; the least recently used is evicted.
   */
  readonly cachedPrefixes: number;
  /** Share of the prompt's tokens that must be read if its prefix is cached. */
  readonly cachedPromptShare: number;
}

/**
 * Steps take 25 ms at a batch of 8, 34 ms at 16 and 73 ms at 32: tokens a
 * second grow up to the knee and fall slightly beyond it.
 */
export const DEFAULT_SPEED: EngineSpeed = {
  baseStepMs: 15,
  perRequestMs: 1.2,
  beyondKneeMs: 1.2,
  kneeBatch: 16,
  perPromptTokenMs: 0.05,
  maxBatch: 32,
  cachedPrefixes: 6,
  cachedPromptShare: 0.1,
};

/** Progress of one attempt at the engine. */
export interface EngineAttempt {
  readonly attempt: AttemptId;
  readonly prefixHash?: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly submittedAtMs: number;
  produced: number;
  firstTokenAtMs?: number;
  lastTokenAtMs?: number;
}

/** Produces one token for each request of its batch in each step. */
export class SimulatedEngine {
  /** Steps take this many times as long. */
  stepTimeFactor = 1;
  private readonly batch = new Map<AttemptId, EngineAttempt>();
  private readonly queue: EngineAttempt[] = [];
  private joinedPromptTokens = 0;
  private readonly prefixes = new Set<string>();
  private stepEndsAtMs: number | undefined;

  constructor(private readonly speed: EngineSpeed = DEFAULT_SPEED) {}

  /** All attempts at the engine, running or queued. */
  attempts(): EngineAttempt[] {
    return [...this.batch.values(), ...this.queue];
  }

  submit(attempt: EngineAttempt): void {
    this.queue.push(attempt);
  }

  /** Drops all attempts and returns them. */
  crash(): EngineAttempt[] {
    const lost = this.attempts();
    this.batch.clear();
    this.queue.length = 0;
    this.stepEndsAtMs = undefined;
    return lost;
  }

  /** Runs up to `nowMs`; returns the attempts that have finished. */
  advance(nowMs: number): EngineAttempt[] {
    const finished: EngineAttempt[] = [];
    if (this.stepEndsAtMs === undefined) this.beginStep(nowMs);
    while (this.stepEndsAtMs !== undefined && this.stepEndsAtMs <= nowMs) {
      const endMs = this.stepEndsAtMs;
      finished.push(...this.endStep(endMs));
      this.beginStep(endMs);
    }
    return finished;
  }

  private beginStep(atMs: number): void {
    this.joinedPromptTokens = 0;
    while (this.batch.size < this.speed.maxBatch && this.queue.length > 0) {
      const next = this.queue.shift()!;
      this.batch.set(next.attempt, next);
      this.joinedPromptTokens += this.readPrompt(next);
    }
    this.stepEndsAtMs =
      this.batch.size > 0
        ? atMs + this.stepMs() * this.stepTimeFactor
        : undefined;
  }

  /** Number of prompt tokens that have to be read; updates the prefix cache. */
  private readPrompt({prefixHash, promptTokens}: EngineAttempt): number {
    if (prefixHash === undefined) return promptTokens;
    const cached = this.prefixes.delete(prefixHash);
    this.prefixes.add(prefixHash);
    if (this.prefixes.size > this.speed.cachedPrefixes) {
      const [oldest] = this.prefixes;
      this.prefixes.delete(oldest);
    }
    return cached ? promptTokens * this.speed.cachedPromptShare : promptTokens;
  }

  private stepMs(): number {
    const {baseStepMs, perRequestMs, beyondKneeMs, kneeBatch} = this.speed;
    const size = this.batch.size;
    const beyond = Math.max(0, size - kneeBatch);
    return (
      baseStepMs +
      perRequestMs * size +
      beyondKneeMs * beyond +
      this.speed.perPromptTokenMs * this.joinedPromptTokens
    );
  }

  private endStep(endMs: number): EngineAttempt[] {
    const finished: EngineAttempt[] = [];
    for (const attempt of this.batch.values()) {
      attempt.produced++;
      attempt.firstTokenAtMs ??= endMs;
      attempt.lastTokenAtMs = endMs;
      if (attempt.produced < attempt.outputTokens) continue;
      finished.push(attempt);
      this.batch.delete(attempt.attempt);
    }
    return finished;
  }
}
