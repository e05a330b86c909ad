/** Sequences whose connection has gone and which may still be resumed. */

import type {Sequence} from './sequence.js';

/** Each is kept for a short while, then given up. */
export class HeldSequences {
  private readonly holdForMs: number;
  private readonly giveUp: (sequence: Sequence) => void;
  private readonly held = new Map<string, [Sequence, NodeJS.Timeout]>();

  constructor(holdForMs: number, giveUp: (sequence: Sequence) => void) {
    this.holdForMs = holdForMs;
    this.giveUp = giveUp;
  }

  hold(sequence: Sequence): void {
    const {requestId} = sequence.options;
    this.drop(requestId);
    const timer = setTimeout(() => this.drop(requestId), this.holdForMs);
    timer.unref();
    this.held.set(requestId, [sequence, timer]);
  }

  /** Hands it out to be resumed. */
  take(requestId: string): Sequence | undefined {
    const entry = this.held.get(requestId);
    if (entry === undefined) return undefined;
    clearTimeout(entry[1]);
    this.held.delete(requestId);
    return entry[0];
  }

  /** Gives it up now; false when it is not held. */
  drop(requestId: string): boolean {
    const sequence = this.take(requestId);
    if (sequence !== undefined) this.giveUp(sequence);
    return sequence !== undefined;
  }

  dropAll(): void {
    for (const requestId of [...this.held.keys()]) this.drop(requestId);
  }
}
