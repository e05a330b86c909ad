/** Context and input of an exchange, and results of its attempts. */

import type {Logger} from '@snipestage/log/logger.js';
import type {ConnectTimeout} from '@snipestage/routing/connect_timeout.js';
import type {EndpointOutcome} from '@snipestage/routing/endpoint_monitor.js';
import type {StreamOrigin} from '@snipestage/routing/stream_origin.js';
import type {DataCentreId, PromptPartId} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {Admission} from './admission.js';
import type {WholeAnswer} from './answer_writer.js';
import type {CrashReporter, RequestContent} from './crash_reporter.js';
import type {EndpointConnector} from './endpoint_connector.js';
import type {EndpointProbes} from './endpoint_probes.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {
  CallerRequest,
  PassThroughProtocol,
} from './pass_through_protocol.js';
import type {StreamMover} from './migration/stream_mover.js';
import type {RoutingState} from './routing_state.js';
import type {Streams} from './streams/streams.js';

/** Shared by all exchanges; defaults in brackets. */
export interface ExchangeContext {
  readonly state: RoutingState;
  readonly protocol: PassThroughProtocol;
  readonly dataCentre: DataCentreId;
  readonly crashes: CrashReporter;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly nowMs: () => number;
  /** When what is read now may have come (now). */
  readonly earliestArrivalMs?: () => number;
  readonly connectTimeout: ConnectTimeout;
  readonly connector: EndpointConnector;
  readonly probes: EndpointProbes;
  readonly mover: Pick<StreamMover, 'follow'>;
  readonly streams: Pick<Streams, 'noteSent' | 'noteBegun' | 'resolve'>;
  /** See {@link UNREAD_BODY_TIMEOUT_MS}, which is the default. */
  readonly unreadBodyTimeoutMs?: number;
  /** Called when a request began to run; `atMs` is on this instance's clock. */
  readonly onBegun: (admission: Admission, atMs: number) => void;
}

/** An admitted request whose body has been read. */
export interface ReadRequest {
  readonly caller: CallerRequest;
  readonly admission: Admission;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  readonly content: RequestContent;
  /** Suspect parts of the prompt of which the request is a trial. */
  readonly trial: readonly PromptPartId[];
  /** Of the stream that the caller takes up; undefined if it takes up none. */
  readonly origin: StreamOrigin | undefined;
  readonly arrivedAtMs: number;
  /**
   * Deadline: the caller's or the route's timeout, whichever is shorter, counted
   * from the earliest possible arrival.
   */
  readonly endsAtMs: number;
  /** As `endsAtMs`, from the latest possible arrival: when it was read. */
  readonly latestEndsAtMs: number;
}

/** How an attempt ended. */
export type AttemptResult = {readonly kind: 'answered'} | FailedResult;

/** The result of an attempt after which the caller has no final answer. */
export type FailedResult = {
  readonly kind: 'failed';
  readonly verdict: Verdict;
  /** What it shows of the endpoint's health; undefined: nothing. */
  readonly endpointOutcome: EndpointOutcome | undefined;
  readonly reason: string;
  /** The endpoint got the request, whether or not it ran it. */
  readonly hasArrived: boolean;
  /** The endpoint ended the connection before its answer was complete (false). */
  readonly connectionBroke?: boolean;
  /** The endpoint's own failure, which may be passed on to the caller. */
  readonly answer?: WholeAnswer;
};
