/** Seeded faults in the handling of brittle endpoints. */

import {BRITTLE_SERVICE} from './fault_plan.js';
import type {Mutant} from './mutant.js';

export const BRITTLE_MUTANTS: readonly Mutant[] = [
  {
    name: 'ignores_brittle_endpoints',
    check: 'few_falls',
    kinds: [BRITTLE_SERVICE, 'endpoint_full'],
    edits: [
      {
        module: 'gateway/dist/record_announcements.js',
        from: 'recordBrittleness(context, answered);\n    recordLoad',
        to: 'recordLoad',
      },
    ],
  },
];
