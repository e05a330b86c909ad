/** Seeded faults in the handling of a store that is set back to a copy. */

import {STORE_SET_BACK, type FaultKind} from './fault_plan.js';
import type {Mutant} from './mutant.js';

const MANY_STOPS = Array<FaultKind>(8).fill('instance_terminate');

export const STORE_MUTANTS: readonly Mutant[] = [
  {
    name: 'ignores_the_era_of_the_store',
    check: 'timely_configuration',
    kinds: [STORE_SET_BACK, 'add_marker'],
    edits: [
      {
        module: 'platform/dist/store_client.js',
        from: 'Number.isInteger(era) && era > 0',
        to: 'false',
      },
    ],
  },
  {
    name: 'gives_tokens_out_twice',
    check: 'one_holder',
    // The lease has to change hands shortly before the store is set back.
    kinds: [...MANY_STOPS, STORE_SET_BACK],
    seriesEveryMs: 1500,
    faultsForMs: 60_000,
    edits: [
      {
        module: 'agreement/dist/lease.js',
        from: 'if (era === undefined || era.number === 0)',
        to: 'if (true)',
      },
      {
        module: 'agreement/dist/lease_rows.js',
        from: 'Math.max(former ?? 0, beforeFirst)',
        to: '(former ?? 0)',
      },
      {
        module: 'agreement/dist/lease_rows.js',
        from: 'return Math.floor((token - 1) / TOKENS_PER_ERA) === eraOf(rowVersion);',
        to: 'return true;',
      },
    ],
  },
  {
    name: 'seals_windows_again_after_a_set_back',
    check: 'one_figure',
    kinds: [...MANY_STOPS, STORE_SET_BACK],
    seriesEveryMs: 3000,
    faultsForMs: 60_000,
    edits: [
      // Shows each seal that differs from the one before.
      {
        module: 'gateway/dist/usage_reporter.js',
        from: 'const key = sealKey(window);\n        const fence',
        to: "total.set('shop-1', Math.random());\n        const key = sealKey(window);\n        const fence",
      },
      {
        module: 'gateway/dist/usage_reporter.js',
        from: 'if (!this.mayHaveBeenSealedBefore(window, sinceEpochMs))',
        to: 'if (true)',
      },
      {
        module: 'gateway/dist/usage_reporter.js',
        from: 'if (own !== undefined)',
        to: 'if (false)',
      },
    ],
  },
];
