/** Sequences whose connection has closed and which can still be resumed. */

import type {Sequence} from './sequence.js';

/** Holds each sequence for a limited time, then drops it. */
export class HeldSequences {
  private readonly holdForMs: number;
  private readonly onDropped: (sequence: Sequence) => void;
  private readonly held = new Map<string, [Sequence, NodeJS.Timeout]>();

  constructor(holdForMs: number, onDropped: (sequence: Sequence) => void) {
    this.holdForMs = holdForMs;
    this.onDropped = onDropped;
  }

  hold(sequence: Sequence): void {
    const {requestId} = sequence.options;
    this.drop(requestId);
    const timer = setTimeout(() => this.drop(requestId), this.holdForMs);
    timer.unref();
    this.held.set(requestId, [sequence, timer]);
  }

  /** Removes and returns a sequence that is to be resumed. */
  take(requestId: string): Sequence | undefined {
    const entry = this.held.get(requestId);
    if (entry === undefined) return undefined;
    clearTimeout(entry[1]);
    this.held.delete(requestId);
    return entry[0];
  }

  /** Drops a sequence now; returns false when it is not held. */
  drop(requestId: string): boolean {
    const sequence = this.take(requestId);
    if (sequence !== undefined) this.onDropped(sequence);
    return sequence !== undefined;
  }

  dropAll(): void {
    for (const requestId of [...this.held.keys()]) this.drop(requestId);
  }
}
