/** What there is in the specification of usage windows, and what may happen. */

import type {TableEffect} from '../table_effects.js';
import type {
  ReporterEffect,
  ReporterState,
  ReporterStep,
} from '../usage_reporter_messages.js';
import type {CountersState, listCopies} from '../usage_counters.js';
import type {Delivery, LateAction, World} from './world_model.js';

/** A reporter, and the effect whose result it awaits. */
export interface Reporter {
  readonly state: ReporterState;
  readonly pending: ReporterEffect | undefined;
}

/** What a peer keeps of an instance's counters. */
export type Copy = ReturnType<typeof listCopies>[number];

export interface UsageWorld {
  readonly world: World;
  /** Windows are one unit long; the current one. */
  readonly nowEpochMs: number;
  readonly counter: CountersState;
  readonly counterCall: TableEffect | undefined;
  readonly copies: readonly Copy[];
  readonly counted: number;
  readonly reporters: readonly Reporter[];
  /** Distinct reports that the platform got, by window. */
  readonly reported: Readonly<Record<string, readonly string[]>>;
}

export type UsageAction =
  | {readonly type: 'count' | 'flush' | 'copy' | 'write_copies'}
  | {readonly type: 'window_ends' | 'take_over'}
  | LateAction
  | {readonly type: 'tick'; readonly reporter: number}
  | {
      readonly type: 'deliver';
      readonly to: 'counter' | 0 | 1;
      readonly delivery: Delivery;
    };

/** How large the model is, and the rule that a mutant breaks. */
export interface UsageModelOptions {
  readonly windows?: number;
  readonly counts?: number;
  readonly losses?: number;
  readonly takesOver?: boolean;
  readonly peer?: boolean;
  readonly mutateStep?: (step: ReporterStep) => ReporterStep;
}
