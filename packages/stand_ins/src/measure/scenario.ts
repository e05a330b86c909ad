/** Types that describe a scenario: its load, its endpoints and its faults. */

import type {
  EndpointKind,
  RequestClass,
} from '@snipestage/types/configuration.js';
import type {EngineControl} from '../engine/engine_control.js';
import type {EngineStandInOptions} from '../engine/engine_stand_in.js';
import type {PlatformControl} from '../platform/platform_control.js';

/** A client account's share of a stream's requests, by weight. */
export interface AccountShare {
  readonly account: string;
  readonly weight: number;
}

/** An interval of the run in which the rate is multiplied by `factor`. */
export interface RateChange {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
  /** Restricts the change to this account's requests when given. */
  readonly account?: string;
}

/** Requests of one class, arriving independently of each other. */
export interface RequestStream {
  readonly requestClass: string;
  readonly ratePerSecond: number;
  readonly accounts: readonly AccountShare[];
  readonly meanOutputTokens: number;
  /** Number of words of the manual or history at the start of each prompt. */
  readonly sharedWords: number;
  readonly rateChanges?: readonly RateChange[];
  /** Sends one request again and again that crashes each engine running it. */
  readonly isPoison?: boolean;
}

/** Calls of a plain service that must not be repeated (not idempotent). */
export interface ServiceStream {
  readonly ratePerSecond: number;
  readonly account: string;
}

/** A change during the run, which begins or ends a fault. */
export type ScenarioAction =
  | {readonly kind: 'lose_data_centre'; readonly dataCentre: string}
  | {readonly kind: 'reclaim_cheap'; readonly dataCentre: string}
  | {
      readonly kind: 'control_engines';
      readonly dataCentre: string;
      readonly command: EngineControl;
    }
  | {readonly kind: 'control_platform'; readonly command: PlatformControl}
  | {readonly kind: 'freeze_owner'}
  | {readonly kind: 'thaw_owner'};

export interface ScenarioEvent {
  readonly atMs: number;
  readonly action: ScenarioAction;
}

/** An interval of the run for which attainment is reported separately. */
export interface Phase {
  readonly name: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Engines of each data centre. */
export interface EngineFleet {
  readonly regularPerDataCentre: number;
  readonly cheapPerDataCentre: number;
  readonly options: EngineStandInOptions;
  readonly maxConcurrency: number;
}

/** Fields of a request class that a scenario sets in its ticket. */
export type ScenarioClass = Pick<
  RequestClass,
  | 'tier'
  | 'firstTokenTargetMs'
  | 'betweenTokensTargetMs'
  | 'deadlineMs'
  | 'guaranteedShare'
  | 'cheapEndpointsAllowed'
>;

/** One scenario; its arrivals are drawn from `seed`. */
export interface Scenario {
  readonly name: string;
  readonly about: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  readonly model: string;
  readonly classes: Readonly<Record<string, ScenarioClass>>;
  readonly engines: EngineFleet;
  readonly streams: readonly RequestStream[];
  readonly service?: ServiceStream;
  readonly events?: readonly ScenarioEvent[];
  readonly phases?: readonly Phase[];
}

/** Price of an endpoint by kind, so that spend can be compared. */
export const PRICE_PER_HOUR: Readonly<Record<EndpointKind, number>> = {
  regular: 4,
  cheap: 1.2,
};
