/** Messages to and from the platform, other than access to its table. */

import type {EndpointKind} from './configuration.js';
import type {
  DataCentreId,
  EndpointId,
  FencingToken,
  InstanceId,
  ModelId,
  OrderId,
  UsageWindowId,
} from './ids.js';

/**
 * An order for endpoints. It states the total wanted, not a difference, so that
 * carrying it out twice has the same effect as once.
 */
export interface EndpointOrder {
  readonly id: OrderId;
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly kind: EndpointKind;
  readonly targetCount: number;
  /** Endpoints to release first if the target is below the current count. */
  readonly release: readonly EndpointId[];
  readonly fencingToken: FencingToken;
}

/**
 * Result of sending an order. The platform does not check who sends an order; it
 * treats orders with the same id as one.
 */
export type OrderResult =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'refused'; readonly reason: string}
  /**
   * Not carried out: nothing was sent, since there was no connection or the lease
   * had ended, or the platform turned the call away as too busy.
   */
  | {readonly kind: 'not_sent'; readonly reason: string}
  /**
   * No answer, or one that does not settle it; the order may have been carried
   * out.
   */
  | {readonly kind: 'unknown'; readonly reason: string};

/** Usage of one client account and request class within a window. */
export interface UsageFigures {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

export interface UsageLine extends UsageFigures {
  readonly clientAccount: string;
  readonly requestClass: string;
}

/** The sealed usage of one window, reported under the id of the window. */
export interface UsageReport {
  readonly window: UsageWindowId;
  readonly startEpochMs: number;
  readonly endEpochMs: number;
  readonly lines: readonly UsageLine[];
}

export type ReportResult =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'refused'; readonly reason: string}
  | {readonly kind: 'not_sent'; readonly reason: string}
  | {readonly kind: 'unknown'; readonly reason: string};

export type InstanceState = 'live' | 'leaving';

/** An entry instance in the platform's list, which may be out of date. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  /** `<IP address>:<port>` of its peer listener. */
  readonly peerAddress: string;
  readonly state: InstanceState;
}

/** An endpoint in the platform's list, which may be out of date. */
export interface ListedEndpoint {
  readonly id: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly kind: EndpointKind;
  readonly url: string;
  readonly state: 'starting' | 'live' | 'leaving';
}
