/** What goes to and comes from the platform besides its table. */

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
 * An order for endpoints: how many there shall be, never how many more, so that
 * an order carried out twice does no harm.
 */
export interface EndpointOrder {
  readonly id: OrderId;
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly kind: EndpointKind;
  readonly targetCount: number;
  /** Endpoints to be given up first when the count falls. */
  readonly release: readonly EndpointId[];
  readonly fencingToken: FencingToken;
}

/** The platform does not check who orders: two with one id are one. */
export type OrderResult =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'refused'; readonly reason: string}
  /** No byte left: no connection, or the lease had ended. */
  | {readonly kind: 'not_sent'; readonly reason: string}
  /** May have been carried out. */
  | {readonly kind: 'unknown'; readonly reason: string};

/** Figures of one client account and request class within a window. */
export interface UsageFigures {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

export interface UsageLine extends UsageFigures {
  readonly clientAccount: string;
  readonly requestClass: string;
}

/** The sealed figures of one window, reported under the window's id. */
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

/** An entry instance in the platform's list, which lags. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  /** `<IP number>:<port>` of its peer listener. */
  readonly peerAddress: string;
  readonly state: InstanceState;
}

/** An endpoint in the platform's list, which lags. */
export interface ListedEndpoint {
  readonly id: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly kind: EndpointKind;
  readonly url: string;
  readonly state: 'starting' | 'live' | 'leaving';
}
