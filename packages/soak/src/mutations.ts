/** Seeded faults of the program; a soak must find each of them. */

import {EVACUATE, RATE_LIMIT, BACKOFF, UNLISTED_LEAVING} from './fault_plan.js';
import {ANSWER_MUTANTS} from './answer_mutations.js';
import {CRASH_MUTANTS} from './crash_mutations.js';
import {BRITTLE_MUTANTS} from './brittle_mutations.js';
import {FOREIGN_ROW_MUTANTS} from './foreign_row_mutations.js';
import {FORWARDING_MUTANTS} from './forwarding_mutations.js';
import {QUOTA_MUTANTS} from './quota_mutations.js';
import type {Mutant} from './mutant.js';
import {STOP_MUTANTS} from './stop_mutations.js';
import {STREAM_MUTANTS} from './stream_mutations.js';
import {STORE_MUTANTS} from './store_mutations.js';

const CHANGES = ['add_marker', 'withdraw_key'] as const;
const KILLS = ['instance_kill'] as const;
const FULL_ENDPOINTS = ['endpoint_full'] as const;
const BROKEN_ENDPOINTS = [
  'endpoint_failing',
  'endpoint_resetting',
  'endpoint_truncating',
] as const;

export const MUTANTS: readonly Mutant[] = [
  {
    name: 'repeats_everything',
    check: 'at_most_once',
    kinds: BROKEN_ENDPOINTS,
    edits: [
      {
        module: 'routing/dist/attempt_policy.js',
        from: "return (route.kind === 'idempotent' ||",
        to: "return (route.kind !== '' ||",
      },
    ],
  },
  {
    name: 'promises_what_it_does_not_know',
    check: 'true_refusal',
    kinds: ['endpoint_resetting'],
    edits: [
      {
        module: 'routing/dist/attempt_policy.js',
        from: "if (verdict === 'not_run') {",
        to: "if (verdict !== 'ran') {",
      },
    ],
  },
  {
    name: 'takes_a_cut_stream_for_whole',
    check: 'own_whole_answer',
    kinds: ['endpoint_truncating'],
    edits: [
      {
        module: 'gateway/dist/event_relay.js',
        from: "response.on('error', () => settle('broken'));",
        to: "response.on('error', () => { this.finish(); settle('whole'); });",
      },
    ],
  },
  {
    name: 'passes_on_half_events',
    check: 'own_whole_answer',
    kinds: ['endpoint_truncating'],
    edits: [
      {
        module: 'connection/dist/answer_end.js',
        from: "content.kind === 'events' && content.hasPartialEvent",
        to: 'false',
      },
    ],
  },
  {
    name: 'trusts_any_close',
    check: 'own_whole_answer',
    kinds: ['endpoint_kill'],
    edits: [
      {
        module: 'gateway/dist/endpoint_call.js',
        from: "if (end !== 'closed')",
        to: 'if (true)',
      },
    ],
  },
  {
    name: 'passes_keys_on',
    check: 'unchanged_request',
    kinds: CHANGES,
    edits: [
      {
        module: 'platform/dist/header_protocol.js',
        from: "    'authorization',",
        to: '',
      },
    ],
  },
  {
    name: 'denies_now_and_then',
    check: 'no_false_denial',
    kinds: CHANGES,
    edits: [
      {
        module: 'gateway/dist/admission.js',
        from: 'if (account === undefined && !isOpen)',
        to: 'if (Math.random() < 0.02)',
      },
    ],
  },
  {
    name: 'never_expires',
    check: 'answer_in_time',
    kinds: ['endpoint_silent'],
    edits: [
      {
        module: 'gateway/dist/exchange.js',
        from: 'this.hasExpired = true;',
        to: 'return;',
      },
    ],
  },
  {
    name: 'asks_all_endpoints',
    check: 'max_attempts',
    kinds: BROKEN_ENDPOINTS,
    edits: [
      {
        module: 'routing/dist/attempt_policy.js',
        from: 'runs < route.maxAttempts',
        to: 'runs < 9',
      },
      {
        module: 'routing/dist/endpoint_monitor.js',
        from: 'const isFailure =',
        to: 'const isFailure = false &&',
      },
    ],
  },
  {
    name: 'asks_again_without_a_budget',
    check: 'retry_budget',
    kinds: FULL_ENDPOINTS,
    edits: [
      {
        module: 'routing/dist/window_budget.js',
        from: 'return next <= this.allowance() && this.saved >= 1;',
        to: 'return true;',
      },
      // An endpoint that refuses keeps getting requests, and looks idle.
      {
        module: 'routing/dist/endpoint_monitor.js',
        from: "if (outcome === 'rejected')",
        to: 'if (false)',
      },
    ],
  },
  {
    name: 'does_not_see_callers_leave',
    check: 'nothing_for_nobody',
    kinds: ['endpoint_silent'],
    seriesEveryMs: 500,
    faultsForMs: 40_000,
    edits: [
      {
        module: 'gateway/dist/exchange.js',
        from: 'cancel() {\n        this.attempts.cancel();',
        to: 'cancel() {',
      },
      {
        module: 'gateway/dist/answer_writer.js',
        from: 'return this.ended || this.callerLeft;',
        to: 'return this.ended;',
      },
    ],
  },
  {
    name: 'hands_on_a_minute',
    check: 'time_handed_on',
    kinds: CHANGES,
    edits: [
      {
        module: 'platform/dist/header_protocol.js',
        from: 'String(forwarded.timeLeftMs)',
        to: "'60000'",
      },
    ],
  },
  {
    name: 'skips_versions',
    check: 'timely_configuration',
    kinds: CHANGES,
    edits: [
      {
        module: 'gateway/dist/operator_rows.js',
        from: 'if (configuration.version <= before)',
        to: 'if (before > 2)',
      },
    ],
  },
  {
    name: 'keeps_keys',
    check: 'withdrawn_keys',
    kinds: ['withdraw_key'],
    edits: [
      {
        module: 'gateway/dist/operator_rows.js',
        from: 'if (configuration.version <= before)',
        to: 'if (before > 2)',
      },
    ],
  },
  {
    name: 'goes_back',
    check: 'rising_configuration',
    kinds: ['add_marker'],
    edits: [
      {
        module: 'gateway/dist/operator_rows.js',
        from: 'this.options.onConfiguration(configuration);',
        to: `const former = this.options.state.table;
          setTimeout(() => { this.options.state.table = this.first ?? former; }, 900);
          this.first ??= former;
          this.options.onConfiguration(configuration);`,
      },
    ],
  },
  {
    name: 'uses_leaving_endpoints',
    check: 'leaving_endpoints',
    kinds: ['endpoint_replace'],
    edits: [
      {
        module: 'routing/dist/endpoint_directory.js',
        from: 'endpoint.isLeaving || this.evacuated',
        to: 'this.evacuated',
      },
    ],
  },
  {
    name: 'does_not_read_announced_leavings',
    check: 'announced_leavings',
    kinds: [UNLISTED_LEAVING],
    edits: [
      {
        module: 'gateway/dist/record_announcements.js',
        from: 'if (head.isLeaving)',
        to: 'if (false)',
      },
    ],
  },
  {
    name: 'does_not_read_backoffs',
    check: 'backoffs',
    kinds: [BACKOFF],
    edits: [
      {
        module: 'gateway/dist/record_announcements.js',
        from: 'if (head.backoffMs !== undefined)',
        to: 'if (false)',
      },
    ],
  },
  {
    name: 'uses_evacuated_data_centres',
    check: 'evacuated_data_centres',
    kinds: [EVACUATE],
    edits: [
      {
        module: 'routing/dist/endpoint_directory.js',
        from: 'this.evacuated.has(endpoint.dataCentre)',
        to: 'false',
      },
    ],
  },
  {
    name: 'ignores_rate_limits',
    check: 'rate_limits',
    kinds: [RATE_LIMIT],
    edits: [
      {
        module: 'routing/dist/placement.js',
        from: 'rateLimits?.mayAdmit(endpoint.id, nowMs) ?? true',
        to: 'true',
      },
    ],
  },
  {
    name: 'seals_again',
    check: 'one_figure',
    // A holder has to report a window that its successor then looks at again.
    kinds: KILLS,
    seriesEveryMs: 5000,
    faultsForMs: 40_000,
    edits: [
      {
        module: 'gateway/dist/usage_reporter.js',
        from: 'if (stored !== undefined)',
        to: 'if (false)',
      },
      {
        module: 'gateway/dist/usage_reporter.js',
        from: 'if (own !== undefined)',
        to: 'if (false)',
      },
      {
        module: 'gateway/dist/usage_reporter.js',
        from: 'checks: [{ key, version: ABSENT }, fence],',
        to: 'checks: [],',
      },
      {
        module: 'gateway/dist/usage_reporter.js',
        from: 'Math.max(first, next)',
        to: 'first',
      },
      {
        module: 'gateway/dist/usage_reporter.js',
        from: 'const key = sealKey(window);\n        const fence',
        to: "total.set('shop-1', Math.random());\n        const key = sealKey(window);\n        const fence",
      },
    ],
  },
  {
    name: 'holds_a_lease_of_its_own',
    check: 'one_holder',
    kinds: CHANGES,
    edits: [
      {
        module: 'gateway/dist/duties.js',
        from: 'name: DUTIES_LEASE,',
        to: 'name: DUTIES_LEASE + settings.instance,',
      },
    ],
  },
  ...STOP_MUTANTS,
  ...CRASH_MUTANTS,
  ...STORE_MUTANTS,
  ...FORWARDING_MUTANTS,
  ...QUOTA_MUTANTS,
  ...STREAM_MUTANTS,
  ...FOREIGN_ROW_MUTANTS,
  ...BRITTLE_MUTANTS,
  ...ANSWER_MUTANTS,
];
