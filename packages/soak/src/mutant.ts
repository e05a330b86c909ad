/**
 * A seeded fault of the program and the conditions under which a soak finds it.
 */

import type {FaultKind} from './fault_plan.js';
import type {Mutation} from './world/program.js';

/** A mutation, the check that must find it and the faults that it takes. */
export interface Mutant extends Mutation {
  readonly check: string;
  /** Pattern of the finding, where the check would also find other errors. */
  readonly findingPattern?: RegExp;
  /** Kinds of faults to apply; all when absent. */
  readonly kinds?: readonly FaultKind[];
  /** Mean time between two series of faults, where it matters. */
  readonly seriesEveryMs?: number;
  readonly faultsForMs?: number;
  /** Processor time of most instances in each 100 ms (no limit). */
  readonly quotaMs?: number;
  /** Callers connect without a link in between (false). */
  readonly connectsDirectly?: boolean;
}
