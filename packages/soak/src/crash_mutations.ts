/** Seeded faults in the handling of requests that crash endpoints. */

import {CRASHING_REQUEST} from './fault_plan.js';
import type {Mutant} from './mutant.js';

export const CRASH_MUTANTS: readonly Mutant[] = [
  {
    name: 'runs_requests_that_crash_endpoints',
    check: 'crashing_requests',
    kinds: [CRASHING_REQUEST],
    edits: [
      {
        module: 'policy/dist/suspects.js',
        from: 'if (retryAfterMs > 0 &&',
        to: 'if (false &&',
      },
    ],
  },
  {
    name: 'recognizes_crashes_by_chance',
    check: 'crashing_requests',
    kinds: [CRASHING_REQUEST],
    edits: [
      {
        module: 'gateway/dist/crash_reporter.js',
        from: 'void this.check.start(endpoint.id);',
        to: '',
      },
      {
        module: 'gateway/dist/record_outcome.js',
        from: 'if (MAY_MEAN_DOWN.has(reason))',
        to: 'if (false)',
      },
    ],
  },
];
