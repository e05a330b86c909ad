/** What an engine stand-in has done, for tests and measurements. */

import type {Sequence} from './sequence.js';

/** Counts since the start; crashes do not reset them. */
export class EngineCounters {
  tokensProduced = 0;
  /** Of requests that were cancelled or given up by their caller. */
  wastedTokens = 0;
  /** Of requests that a crash ended. */
  tokensLostInCrashes = 0;
  finished = 0;
  cancelled = 0;
  crashes = 0;
  readonly runsByRequestId = new Map<string, number>();

  /** A request was taken in. */
  countRun(requestId: string): void {
    const runs = this.runsByRequestId.get(requestId) ?? 0;
    this.runsByRequestId.set(requestId, runs + 1);
  }

  /** A request will not be finished. */
  countCancelled(sequence: Sequence): void {
    this.cancelled += 1;
    this.wastedTokens += sequence.produced;
  }

  toJSON(): object {
    const runsByRequestId = Object.fromEntries(this.runsByRequestId);
    return {...this, runsByRequestId};
  }
}
