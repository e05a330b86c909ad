/** What a request's handling goes by, and how one attempt of it ended. */

import type {Logger} from '@snipestage/log/logger.js';
import type {ConnectTimeout} from '@snipestage/routing/connect_timeout.js';
import type {EndpointOutcome} from '@snipestage/routing/endpoint_monitor.js';
import type {DataCentreId, Fingerprint} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {Admission} from './admission.js';
import type {WholeAnswer} from './answer_writer.js';
import type {CrashReporter} from './crash_reporter.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {
  CallerRequest,
  PassThroughProtocol,
} from './pass_through_protocol.js';
import type {RoutingState} from './routing_state.js';

/** What all exchanges share. */
export interface ExchangeContext {
  readonly state: RoutingState;
  readonly protocol: PassThroughProtocol;
  readonly dataCentre: DataCentreId;
  readonly crashes: CrashReporter;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly nowMs: () => number;
  readonly connectPatience: ConnectTimeout;
  /** A request of the account began to run at this time of our clock. */
  readonly onBegun: (admission: Admission, atMs: number) => void;
}

/** A request that is read. */
export interface ReadRequest {
  readonly caller: CallerRequest;
  readonly admission: Admission;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  readonly fingerprint: Fingerprint | undefined;
  readonly arrivedAtMs: number;
  /** The caller's patience or the operator's limit, whichever is shorter. */
  readonly endsAtMs: number;
}

/** How an attempt ended. */
export type AttemptResult = {readonly kind: 'answered'} | FailedResult;

/** An attempt after which the caller has no final answer. */
export type FailedResult = {
  readonly kind: 'failed';
  readonly verdict: Verdict;
  readonly sign: EndpointOutcome | undefined;
  readonly reason: string;
  /** The endpoint got the request, whatever it made of it. */
  readonly hasArrived: boolean;
  /** The endpoint's own failure, which the caller may be given. */
  readonly answer?: WholeAnswer;
};
