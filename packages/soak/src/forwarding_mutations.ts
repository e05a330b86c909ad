/** Seeded faults in how isolated instances connect to endpoints. */

import {INSTANCE_CUT} from './fault_plan.js';
import type {Mutant} from './mutant.js';

export const FORWARDING_MUTANTS: readonly Mutant[] = [
  {
    name: 'connects_only_by_itself',
    check: 'served_when_cut',
    kinds: [INSTANCE_CUT],
    edits: [
      {
        module: 'gateway/dist/endpoint_connector.js',
        from: 'if (forwarded === undefined)',
        to: 'if (true)',
      },
    ],
  },
];
