/** Options, events, effects and state of the usage reporter. */

import type {LeaseName, UsageWindowId} from '@snipestage/types/ids.js';
import type {
  ReportResult,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {Row} from '@snipestage/types/table.js';
import type {LeaseTerm} from './lease_rows.js';
import type {Step, TableEffect, TableEvent} from './table_effects.js';

/** Options of the usage reporter. */
export interface ReporterOptions {
  readonly lease: LeaseName;
  readonly windowMs: number;
  /** How long after its end a window is left open for late counters. */
  readonly graceMs: number;
  /** See {@link SealOptions}; ten windows if absent. */
  readonly counterRetentionMs?: number;
  /** See {@link SealOptions}; seven days if absent. */
  readonly accountedRetentionMs?: number;
}

/** Phase of the reporter; all but `idle` await the result of `call`. */
export type ReporterPhase =
  | {readonly kind: 'idle'}
  | {readonly kind: 'reading_progress'; readonly nowEpochMs: number}
  | {
      readonly kind: 'scanning_counters';
      readonly progress: Row;
    }
  | {
      readonly kind: 'reading_accounted';
      readonly progress: Row;
      readonly counters: readonly Row[];
    }
  | {readonly kind: 'writing'}
  | {readonly kind: 'reading_seal'; readonly progress: Row}
  | {readonly kind: 'reporting'; readonly progress: Row};

export interface ReporterState {
  readonly options: ReporterOptions;
  readonly term: LeaseTerm | undefined;
  readonly call: number;
  readonly phase: ReporterPhase;
}

export type ReporterEvent =
  | TableEvent
  | {readonly kind: 'acquired'; readonly held: LeaseTerm}
  | {readonly kind: 'lost'}
  /** To be sent every second or so; `nowEpochMs` only shows which windows ended. */
  | {readonly kind: 'tick'; readonly nowEpochMs: number}
  | {
      readonly kind: 'report_answered';
      readonly call: number;
      /** `not_sent`: the lease was not in force when it was to be sent. */
      readonly result: ReportResult | {readonly kind: 'not_sent'};
    };

export type ReporterEffect =
  | TableEffect
  /** Send it only if `leaseInForce` in the turn that writes its bytes. */
  | {
      readonly kind: 'report';
      readonly call: number;
      readonly report: UsageReport;
    }
  | {
      readonly kind: 'report_refused';
      readonly window: UsageWindowId;
      readonly reason: string;
    };

export type ReporterStep = Step<ReporterState, ReporterEffect>;
