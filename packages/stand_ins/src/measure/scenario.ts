/** A scenario as data: who asks for what, what serves it, what goes wrong. */

import type {
  EndpointKind,
  RequestClass,
} from '@snipestage/types/configuration.js';
import type {EngineControl} from '../engine/engine_control.js';
import type {EngineStandInOptions} from '../engine/engine_stand_in.js';
import type {PlatformControl} from '../platform/platform_control.js';

/** A client account's part of a stream's requests. */
export interface AccountShare {
  readonly account: string;
  readonly weight: number;
}

/** A stretch of the run with another rate. */
export interface RateChange {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
  /** Hits only this account's part when given. */
  readonly account?: string;
}

/** Requests of one class, arriving independently of each other. */
export interface RequestStream {
  readonly requestClass: string;
  readonly ratePerSecond: number;
  readonly accounts: readonly AccountShare[];
  readonly meanOutputTokens: number;
  /** Words of the manual or history at the start of each prompt. */
  readonly sharedWords: number;
  readonly rateChanges?: readonly RateChange[];
  /** One request, sent again and again, that crashes what runs it. */
  readonly isPoison?: boolean;
}

/** Calls of a plain service that may not be repeated. */
export interface ServiceStream {
  readonly ratePerSecond: number;
  readonly account: string;
}

/** Something that goes wrong, or right again. */
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

/** A stretch of the run for which attainment is told by itself. */
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

/** The classes as the ticket has them, by id. */
export type ScenarioClass = Pick<
  RequestClass,
  | 'tier'
  | 'firstTokenTargetMs'
  | 'betweenTokensTargetMs'
  | 'deadlineMs'
  | 'guaranteedShare'
  | 'cheapEndpointsAllowed'
>;

/** One scenario; everything random comes from its seed. */
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

/** Price of an endpoint, so that spend can be compared. */
export const PRICE_PER_HOUR: Readonly<Record<EndpointKind, number>> = {
  regular: 4,
  cheap: 1.2,
};
