/** A seeded fault of the program, and how the soak finds it. */

import type {FaultKind} from './fault_plan.js';
import type {Mutation} from './world/program.js';

/** A mutation, what has to happen for it to show, and who is to find it. */
export interface Mutant extends Mutation {
  readonly check: string;
  /** What the finding has to say, where faults of another kind would show too. */
  readonly says?: RegExp;
  /** The faults under which it shows; all when absent. */
  readonly kinds?: readonly FaultKind[];
  /** Mean time between two series of them, where it matters. */
  readonly seriesEveryMs?: number;
  readonly faultsForMs?: number;
}
