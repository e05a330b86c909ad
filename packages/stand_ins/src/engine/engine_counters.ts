/** Counters of an engine stand-in, for tests and measurements. */

import type {Sequence} from './sequence.js';

/** Counts since creation; crashes do not reset them. */
export class EngineCounters {
  tokensProduced = 0;
  /** Tokens of requests that were cancelled or abandoned by their caller. */
  wastedTokens = 0;
  /** Tokens of requests that ended in a crash. */
  tokensLostInCrashes = 0;
  finished = 0;
  cancelled = 0;
  crashes = 0;
  readonly runsByRequestId = new Map<string, number>();

  /** Counts a request that was accepted. */
  countRun(requestId: string): void {
    const runs = this.runsByRequestId.get(requestId) ?? 0;
    this.runsByRequestId.set(requestId, runs + 1);
  }

  /** Counts a request that will not be finished, and its wasted tokens. */
  countCancelled(sequence: Sequence): void {
    this.cancelled += 1;
    this.wastedTokens += sequence.produced;
  }

  toJSON(): object {
    const runsByRequestId = Object.fromEntries(this.runsByRequestId);
    return {...this, runsByRequestId};
  }
}
