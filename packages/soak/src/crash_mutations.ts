/** Seeded faults in the handling of requests that crash endpoints. */

import {CRASHING_PART, CRASHING_REQUEST} from './fault_plan.js';
import type {Mutant} from './mutant.js';

/** With harmless ones beside it, since engines are back too late otherwise. */
const CRASHING_PARTS = [
  CRASHING_PART,
  'add_marker',
  'instance_reload',
  'provider_busy',
  'provider_silent',
] as const;

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
  {
    name: 'holds_crashes_against_whole_prompts',
    check: 'crashing_parts',
    kinds: CRASHING_PARTS,
    edits: [
      {
        module: 'gateway/dist/crash_reporter.js',
        from: 'parts: hasBegun ? [] : parts,',
        to: 'parts: [],',
      },
    ],
  },
  {
    name: 'never_clears_parts',
    check: 'serves_again',
    kinds: CRASHING_PARTS,
    edits: [
      {
        module: 'policy/dist/part_suspects.js',
        from: 'this.records.clearPart(part, nowMs);',
        to: '',
      },
      {
        module: 'policy/dist/suspects.js',
        from: '.findBegunSince(crash.parts ?? [], nowMs - crash.ageMs)',
        to: '.findBegunSince([], nowMs - crash.ageMs)',
      },
    ],
  },
  {
    name: 'tries_suspect_parts_without_end',
    check: 'crashing_parts',
    kinds: CRASHING_PARTS,
    edits: [
      {
        module: 'policy/dist/part_trials.js',
        from: 'const delayMs = this.delaysMs[count];',
        to: 'const delayMs = 0;',
      },
    ],
  },
];
