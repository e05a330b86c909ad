/** Forwards connections for other instances, and has its own forwarded. */

import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import {
  ForwarderChoice,
  type Forwarder,
  type ForwarderAddress,
} from '@snipestage/routing/forwarder_choice.js';
import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import type {ConnectRequest, DirectConnector} from '../direct_connector.js';
import type {
  EndpointConnectFailure,
  EndpointConnection,
} from '../endpoint_connection.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {RoutingState} from '../routing_state.js';
import {ForwarderList} from './forwarder_list.js';
import type {ForwarderClient, TunnelFailure} from './forwarder_client.js';
import type {Tunnel} from './tunnel.js';
import type {TunnelServer} from './tunnel_server.js';

/** Options of {@link Forwarding}. */
export interface ForwardingOptions {
  readonly instance: InstanceId;
  readonly dataCentre: DataCentreId;
  /** `<IP address>:<port>` */
  readonly address: string;
  readonly publishWithinMs?: number;
  readonly state: RoutingState;
  readonly platform: Platform;
  readonly direct: DirectConnector;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly isStopping: () => boolean;
}

/** Forwarders that one request may try. */
const MAX_FORWARDERS = 4;

/** Owns the server, the list of the others and a client for each one used. */
export class Forwarding {
  private readonly choice: ForwarderChoice;
  private readonly list: ForwarderList;
  private readonly clients = new Map<ForwarderAddress, ForwarderClient>();
  private server: TunnelServer | undefined;

  constructor(private readonly options: ForwardingOptions) {
    const {instance, dataCentre, address} = options;
    this.choice = new ForwarderChoice({dataCentre});
    this.list = new ForwarderList({
      ...options,
      own: {
        instance,
        dataCentre,
        address: brandAs<ForwarderAddress>(address),
      },
      countInstances: () => options.state.instances,
      onRead: others => this.choice.learn(others),
    });
  }

  /** Whether any other instance is known that may forward connections. */
  get isAvailable(): boolean {
    return this.choice.count > 0;
  }

  /** Tunnels that this instance serves for others. */
  get inProgress(): number {
    return this.server?.inProgress ?? 0;
  }

  /** Number of other instances that may forward connections. */
  get knownForwarders(): number {
    return this.choice.count;
  }

  async start(): Promise<void> {
    const {address, logger, isStopping} = this.options;
    const {TunnelServer} = await import('./tunnel_server.js');
    const server = new TunnelServer({
      ...this.options,
      isOpen: () => !isStopping(),
    });
    try {
      await server.start();
    } catch (error) {
      logger.error('forwarding_not_started', {address, error: String(error)});
      return;
    }
    this.server = server;
    this.list.start();
  }

  /** Ends all tunnels. */
  stop(): void {
    this.list.stop();
    this.server?.stop();
    for (const client of this.clients.values()) client.close();
  }

  /** The store was set back: it may have lost the row of this instance. */
  noteSetBack(): void {
    this.list.republish();
  }

  /** Reads the list of forwarders again. */
  refresh(): void {
    this.list.refresh();
  }

  /**
   * Opens a connection through another instance; nothing is sent over it yet.
   *
   * @example
   * const connection = await forwarding.open({endpoint, timeoutMs, signal});
   */
  async open(
    request: ConnectRequest,
  ): Promise<EndpointConnection | EndpointConnectFailure> {
    const failed = new Set<InstanceId>();
    while (failed.size < MAX_FORWARDERS && !request.signal.aborted) {
      const forwarder = this.choice.choose(
        failed,
        this.options.nowMs(),
        request.isProbe,
      );
      if (forwarder === undefined) break;
      const result = await this.openThrough(forwarder, request);
      if (result.kind === 'open') return result;
      const reason = explainFailure(result, request);
      if (reason !== undefined) {
        return {kind: 'failed', path: 'forwarded', reason};
      }
      failed.add(forwarder.instance);
    }
    this.refresh();
    return {kind: 'failed', path: 'forwarded', reason: 'isolated'};
  }

  private async openThrough(
    forwarder: Forwarder,
    request: ConnectRequest,
  ): Promise<Tunnel | TunnelFailure> {
    const {metrics, nowMs} = this.options;
    const client = await this.clientOf(forwarder);
    this.choice.begin(forwarder);
    const result = await client.open(request);
    metrics.countConnection(
      'forwarded',
      result.kind === 'open' ? 'open' : result.reason,
    );
    if (result.kind === 'open') {
      this.choice.noteOpened(forwarder);
      void result.closedCleanly.then(() => {
        this.choice.end(forwarder);
        if (result.hasPathBroken) this.choice.noteFailed(forwarder, nowMs());
      });
      return result;
    }
    this.choice.end(forwarder);
    if (isFailureOfForwarder(result)) {
      this.choice.noteFailed(forwarder, nowMs());
    }
    return result;
  }

  private async clientOf({address}: Forwarder): Promise<ForwarderClient> {
    // Loading gRPC takes processor time that most starts don't need.
    const {ForwarderClient} = await import('./forwarder_client.js');
    const existing = this.clients.get(address);
    if (existing !== undefined) return existing;
    const client = new ForwarderClient(address);
    this.clients.set(address, client);
    return client;
  }
}

/** @returns undefined when another forwarder may succeed. */
function explainFailure(
  {reason}: TunnelFailure,
  {isProbe = false}: ConnectRequest,
): EndpointConnectFailure['reason'] | undefined {
  switch (reason) {
    case 'refused':
    case 'timed_out':
      return reason;
    case 'not_serving':
      // One that started lately doesn't know endpoints that have left.
      return isProbe ? undefined : reason;
    default:
      return undefined;
  }
}

function isFailureOfForwarder({reason}: TunnelFailure): boolean {
  return (
    reason === 'no_answer' || reason === 'isolated' || reason === 'unavailable'
  );
}
