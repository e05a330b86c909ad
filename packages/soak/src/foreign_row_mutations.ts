/** Seeded faults in the reading of what other processes write. */

import {FOREIGN_ROW} from './fault_plan.js';
import type {Mutant} from './mutant.js';

const KINDS = [FOREIGN_ROW] as const;

export const FOREIGN_ROW_MUTANTS: readonly Mutant[] = [
  {
    name: 'takes_any_crash_for_a_report',
    check: 'no_unhandled_error',
    kinds: KINDS,
    edits: [
      {
        module: 'gateway/dist/shared_facts.js',
        from: 'const crash = readCrash(value);',
        to: 'const crash = value;',
      },
    ],
  },
  {
    name: 'ends_with_the_first_row_that_it_cannot_apply',
    check: 'proper_ends',
    kinds: KINDS,
    edits: [
      {
        module: 'gateway/dist/shared_facts.js',
        from: 'const crash = readCrash(value);',
        to: 'const crash = value;',
      },
      {
        module: 'gateway/dist/table_follower.js',
        from: "logger.error('rows_not_applied',",
        to: "process.exit(1); logger.error('rows_not_applied',",
      },
    ],
  },
  {
    name: 'believes_any_entry_at_an_address',
    check: 'nothing_lost',
    kinds: KINDS,
    edits: [
      {
        module: 'gateway/dist/endpoint_probes.js',
        from: "same: 'up',",
        to: "same: 'accepted',",
      },
      {
        module: 'routing/dist/endpoint_directory.js',
        from: 'each.bornEpochMs !== undefined && each.bornEpochMs > bornEpochMs',
        to: '(each.bornEpochMs ?? Infinity) > bornEpochMs',
      },
    ],
  },
];
