/** Opens connections to endpoints and records whether that is possible. */

import {
  FreshConnection,
  type ConnectFailure,
  type FreshConnectionOptions,
} from '@snipestage/connection/fresh_connection.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {ConnectTimeout} from '@snipestage/routing/connect_timeout.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {RoutingState} from './routing_state.js';
import {splitAddress} from './split_address.js';

/** Options of {@link DirectConnector}; default in the brackets. */
export interface DirectConnectorOptions {
  readonly state: RoutingState;
  readonly connectTimeout: ConnectTimeout;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** ({@link FreshConnection.open}) */
  readonly open?: (
    options: FreshConnectionOptions,
  ) => Promise<FreshConnection | ConnectFailure>;
}

/** A connection to be opened. */
export interface ConnectRequest {
  readonly endpoint: ServingEndpoint;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** No request follows: the endpoint may be leaving (false). */
  readonly isProbe?: boolean;
}

/** Connects without another instance in between. */
export class DirectConnector {
  /** Called when this instance can't connect to any endpoint any more. */
  onIsolated: () => void = () => undefined;

  constructor(private readonly options: DirectConnectorOptions) {}

  /**
   * Opens a connection; nothing is sent over it yet.
   *
   * @example
   * const connection = await direct.open({endpoint, timeoutMs: 100, signal});
   */
  async open(
    request: ConnectRequest,
  ): Promise<FreshConnection | ConnectFailure> {
    const {endpoint, timeoutMs, signal} = request;
    const {nowMs, open = FreshConnection.open} = this.options;
    const [host, port] = splitAddress(endpoint.address);
    const startedAtMs = nowMs();
    const connection = await open({
      host,
      port,
      connectTimeoutMs: timeoutMs,
      signal,
    });
    if (connection.kind === 'open') this.noteConnected(nowMs() - startedAtMs);
    else if (!signal.aborted) {
      this.noteFailed(endpoint, startedAtMs, connection.timedOut);
    }
    return connection;
  }

  private noteConnected(tookMs: number): void {
    const {state, connectTimeout, metrics, logger, nowMs} = this.options;
    connectTimeout.note(tookMs);
    metrics.countConnection('direct', 'open');
    const isolatedForMs = state.isolation.noteConnected(nowMs());
    if (isolatedForMs === undefined) return;
    metrics.setIsolated(false);
    logger.warn('isolation_ended', {afterMs: Math.round(isolatedForMs)});
  }

  private noteFailed(
    {id}: ServingEndpoint,
    startedAtMs: number,
    hasTimedOut: boolean,
  ): void {
    const {state, metrics, logger, nowMs} = this.options;
    metrics.countConnection('direct', hasTimedOut ? 'timed_out' : 'refused');
    const knownEndpoints = state.directory.readAll().length;
    const failed = {endpoint: id, startedAtMs, hasTimedOut, knownEndpoints};
    if (!state.isolation.noteFailed(failed, nowMs())) return;
    state.forgetUnreachable();
    metrics.setIsolated(true);
    logger.warn('isolation_began', {endpoint: id, hasTimedOut});
    this.onIsolated();
  }
}
