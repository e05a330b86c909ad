/** State and actions of the specification of usage windows. */

import type {TableEffect} from '../table_effects.js';
import type {
  ReporterEffect,
  ReporterState,
  ReporterStep,
} from '../usage_reporter_messages.js';
import type {CountersState, listCopies} from '../usage_counters.js';
import type {Delivery, LateAction, World} from './world_model.js';

/** A reporter and its pending effect. */
export interface Reporter {
  readonly state: ReporterState;
  readonly pending: ReporterEffect | undefined;
}

/** A peer's copy of an instance's counters. */
export type Copy = ReturnType<typeof listCopies>[number];

export interface UsageWorld {
  readonly world: World;
  /** The current time; windows are one unit long. */
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

/** Size of the model, and the mutation, if any. */
export interface UsageModelOptions {
  readonly windows?: number;
  readonly counts?: number;
  readonly losses?: number;
  readonly takesOver?: boolean;
  readonly peer?: boolean;
  readonly mutateStep?: (step: ReporterStep) => ReporterStep;
}
