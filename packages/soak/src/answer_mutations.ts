/** Seeded faults in the handling of odd answers, and of work late in a stop. */

import {
  EARLY_ANSWER,
  ENGINE_FLOOD,
  ENGINE_PAUSE,
  LATE_STREAMS,
  ODD_STATUS,
} from './fault_plan.js';
import type {Mutant} from './mutant.js';

export const ANSWER_MUTANTS: readonly Mutant[] = [
  {
    name: 'gives_up_what_is_silent_for_what_is_full',
    check: 'nothing_lost',
    // Long streams, of which some run at the engine that pauses.
    kinds: [ENGINE_PAUSE, LATE_STREAMS],
    seriesEveryMs: 5000,
    faultsForMs: 40_000,
    edits: [
      {
        module: 'gateway/dist/takeover_attempts.js',
        from: 'this.hedged = this.start(placed, undefined);',
        to: "this.hedged = this.start(placed, undefined); this.take('accepted');",
      },
    ],
  },
  {
    name: 'takes_an_early_answer_for_whole',
    check: 'own_whole_answer',
    kinds: [EARLY_ANSWER],
    edits: [
      {
        module: 'connection/dist/answer_end.js',
        from: '!answer.isRequestSent',
        to: 'false',
      },
    ],
  },
  {
    name: 'passes_on_any_status',
    check: 'own_whole_answer',
    kinds: [ODD_STATUS],
    edits: [
      {
        module: 'connection/dist/answer_head.js',
        from: 'status <= MAX_STATUS',
        to: 'true',
      },
    ],
  },
  {
    name: 'reads_all_that_comes',
    check: 'answer_in_time',
    kinds: [ENGINE_FLOOD],
    edits: [
      {
        module: 'connection/dist/input_shares.js',
        from: 'return this.readDebtMs(nowMs) >',
        to: 'return false && this.readDebtMs(nowMs) >',
      },
    ],
  },
  {
    name: 'takes_long_streams_late_in_a_stop',
    check: 'nothing_lost',
    findingPattern: /sent [3-9]\d{3} ms after a stop/,
    kinds: [LATE_STREAMS, 'instance_terminate'],
    edits: [
      {
        module: 'routing/dist/shutdown.js',
        from: 'endsAtMs <= graceEndsAtMs',
        to: 'true',
      },
    ],
  },
];
