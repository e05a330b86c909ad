/** A model engine that batches continuously, under a simulated clock. */

import type {AttemptId} from '@snipestage/types/ids.js';

/** How long a step of the engine takes. */
export interface EngineSpeed {
  readonly baseStepMs: number;
  /** Added for each request of the batch. */
  readonly perRequestMs: number;
  /** Added besides for each request beyond the knee: memory is short. */
  readonly beyondKneeMs: number;
  readonly kneeBatch: number;
  /** Added to the step in which a prompt is read. */
  readonly perPromptTokenMs: number;
  /** Requests beyond wait inside the engine. */
  readonly maxBatch: number;
  /** Starts of prompts that it remembers, the latest used. */
  readonly cachedPrefixes: number;
  /** What is left of a prompt's time if its start is remembered. */
  readonly cachedPromptShare: number;
}

/**
 * Steps of 25 ms at a batch of 8, 34 at 16 and 73 at 32: tokens a second grow
 * up to the knee and fall a little beyond it.
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

/** What one attempt has come to. */
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

/** Produces one token for each request of its batch in a step. */
export class SimulatedEngine {
  /** Steps take this many times as long. */
  stepTimeFactor = 1;
  private readonly batch = new Map<AttemptId, EngineAttempt>();
  private readonly queue: EngineAttempt[] = [];
  private joinedPromptTokens = 0;
  private readonly prefixes = new Set<string>();
  private stepEndsAtMs: number | undefined;

  constructor(private readonly speed: EngineSpeed = DEFAULT_SPEED) {}

  /** All that it has, running or not. */
  attempts(): EngineAttempt[] {
    return [...this.batch.values(), ...this.queue];
  }

  submit(attempt: EngineAttempt): void {
    this.queue.push(attempt);
  }

  /** Loses all that it has. */
  crash(): EngineAttempt[] {
    const lost = this.attempts();
    this.batch.clear();
    this.queue.length = 0;
    this.stepEndsAtMs = undefined;
    return lost;
  }

  /** Runs up to `nowMs`; gives the attempts that have finished. */
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

  /** Tokens of the prompt that have to be read. */
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
