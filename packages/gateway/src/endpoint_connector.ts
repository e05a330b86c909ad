/** Connects to endpoints, through other instances where needed. */

import type {RoutingState} from './routing_state.js';
import {
  DirectConnection,
  type EndpointConnectFailure,
  type EndpointConnection,
} from './endpoint_connection.js';
import type {ConnectRequest, DirectConnector} from './direct_connector.js';
import type {Forwarding} from './forwarding/forwarding.js';

/** Options of {@link EndpointConnector}. */
export interface EndpointConnectorOptions {
  readonly state: RoutingState;
  readonly direct: DirectConnector;
  /** Undefined where instances don't connect to one another. */
  readonly forwarded: Pick<Forwarding, 'isAvailable' | 'open'> | undefined;
  readonly nowMs: () => number;
}

/** A connection that a request needs. */
export interface EndpointConnectRequest extends ConnectRequest {
  /** No other endpoint is left to try. */
  readonly isLast: boolean;
}

/**
 * Prefers a connection of its own. An isolated instance connects through others
 * without delay, and finds out in the background whether its links are back.
 */
export class EndpointConnector {
  constructor(private readonly options: EndpointConnectorOptions) {}

  /**
   * Opens a connection; nothing is sent over it yet.
   *
   * @example
   * const connection = await connector.open({endpoint, isLast: false, ...rest});
   */
  async open(
    request: EndpointConnectRequest,
  ): Promise<EndpointConnection | EndpointConnectFailure> {
    const {state, forwarded} = this.options;
    if (forwarded?.isAvailable !== true) return this.openDirectly(request);
    // Whatever is believed of the links, a look may still succeed by itself.
    if (state.isolation.isIsolated && request.isProbe !== true) {
      this.probe(request);
      return forwarded.open(request);
    }
    const direct = await this.openDirectly(request);
    const mustForward = state.isolation.isIsolated || request.isLast;
    if (direct.kind === 'open' || !mustForward) return direct;
    const result = await forwarded.open(request);
    const isNoPath = result.kind === 'failed' && result.reason === 'isolated';
    return isNoPath && !state.isolation.isIsolated ? direct : result;
  }

  private async openDirectly(
    request: ConnectRequest,
  ): Promise<EndpointConnection | EndpointConnectFailure> {
    const connection = await this.options.direct.open(request);
    if (connection.kind === 'open') return new DirectConnection(connection);
    const reason = connection.timedOut ? 'timed_out' : 'refused';
    return {kind: 'failed', path: 'direct', reason};
  }

  private probe({endpoint, timeoutMs}: ConnectRequest): void {
    const {state, direct, nowMs} = this.options;
    if (!state.isolation.takeProbe(nowMs())) return;
    const {signal} = new AbortController();
    void direct.open({endpoint, timeoutMs, signal}).then(connection => {
      if (connection.kind === 'open') connection.reset();
    });
  }
}
