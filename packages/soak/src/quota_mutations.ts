/** Seeded faults that show where instances are short of processor time. */

import {ONE_INSTANCE} from './fault_plan.js';
import type {Mutant} from './mutant.js';

/** A soak with a quota and callers that connect directly must find each. */
export const QUOTA_MUTANTS: readonly Mutant[] = [
  {
    name: 'counts_no_wait_to_be_accepted',
    check: 'time_handed_on',
    // An instance that is far behind may exceed the bound by a little.
    findingPattern: /^\d{4} ms at endpoint/,
    kinds: [ONE_INSTANCE],
    quotaMs: 8,
    connectsDirectly: true,
    edits: [
      {
        module: 'gateway/dist/request_handler.js',
        from: 'maxQueuedMs > 0 ?',
        to: 'false ?',
      },
      {
        module: 'gateway/dist/accept_queue_watch.js',
        from: 'this.acceptedInRow >= MIN_BACKLOG_COUNT',
        to: 'false',
      },
    ],
  },
];
