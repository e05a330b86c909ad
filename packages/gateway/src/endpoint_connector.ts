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
  readonly forwarded:
    Pick<Forwarding, 'isAvailable' | 'open' | 'refresh'> | undefined;
  readonly nowMs: () => number;
}

/** A connection that a request needs. */
export interface EndpointConnectRequest extends ConnectRequest {
  /** No other endpoint is left to try. */
  readonly isLast: boolean;
}

/**
 * Prefers a connection of its own. An isolated instance connects through others,
 * at once where its own links are silent.
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
    if (forwarded === undefined) return this.openDirectly(request);
    if (!forwarded.isAvailable) {
      // The others may not have published their addresses at the last read.
      if (state.isolation.isIsolated) forwarded.refresh();
      return this.openDirectly(request);
    }
    if (state.isolation.hasSilentLinks) {
      return this.openWhileSilent(request, forwarded);
    }
    const direct = await this.openDirectly(request);
    const mustForward = state.isolation.isIsolated || request.isLast;
    if (direct.kind === 'open' || !mustForward) return direct;
    const result = await forwarded.open(request);
    const hasNoPath = result.kind === 'failed' && result.reason === 'isolated';
    // A request may go to the next endpoint then; a look learns nothing.
    const isSettled = !state.isolation.isIsolated || request.isProbe !== true;
    return hasNoPath && isSettled ? direct : result;
  }

  /**
   * Connects through others without waiting for its own links. From time to time
   * it connects directly as well, as these may be back. A look always tries both:
   * a whole answer waits for it.
   *
   * @returns the first connection; if there is none, why not through others.
   */
  private async openWhileSilent(
    request: EndpointConnectRequest,
    forwarded: Pick<Forwarding, 'open'>,
  ): Promise<EndpointConnection | EndpointConnectFailure> {
    const {state, nowMs} = this.options;
    const openings = [forwarded.open(request)];
    if (request.isProbe === true || state.isolation.takeProbe(nowMs())) {
      openings.push(this.openDirectly(request));
    }
    const first = await firstOpen(openings);
    for (const opening of openings) void resetUnless(first, opening);
    return first ?? openings[0];
  }

  private async openDirectly(
    request: ConnectRequest,
  ): Promise<EndpointConnection | EndpointConnectFailure> {
    const connection = await this.options.direct.open(request);
    if (connection.kind === 'open') return new DirectConnection(connection);
    const reason = connection.timedOut ? 'timed_out' : 'refused';
    return {kind: 'failed', path: 'direct', reason};
  }
}

type OpenResult = EndpointConnection | EndpointConnectFailure;

/** @returns undefined when all have failed. */
async function firstOpen(
  openings: ReadonlyArray<Promise<OpenResult>>,
): Promise<EndpointConnection | undefined> {
  const opened = openings.map(async opening => {
    const result = await opening;
    if (result.kind === 'failed') throw new Error(result.reason);
    return result;
  });
  try {
    return await Promise.any(opened);
  } catch {
    return undefined;
  }
}

/** Lets a connection open that isn't needed: that shows which path works. */
async function resetUnless(
  chosen: EndpointConnection | undefined,
  opening: Promise<OpenResult>,
): Promise<void> {
  const result = await opening;
  if (result.kind === 'open' && result !== chosen) result.reset();
}
