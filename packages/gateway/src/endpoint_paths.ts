/** The paths by which this process connects to endpoints. */

import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import {ConnectTimeout} from '@snipestage/routing/connect_timeout.js';
import {DirectConnector} from './direct_connector.js';
import {EndpointConnector} from './endpoint_connector.js';
import {Forwarding} from './forwarding/forwarding.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {GatewaySettings} from './gateway_settings.js';
import {LinkProbes} from './link_probes.js';
import type {RoutingState} from './routing_state.js';

/** Options of {@link EndpointPaths}. */
export interface EndpointPathsOptions {
  readonly settings: GatewaySettings;
  readonly state: RoutingState;
  readonly platform: Platform;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly isStopping: () => boolean;
}

/** Owns connections of its own and those through other instances. */
export class EndpointPaths {
  readonly connectTimeout = new ConnectTimeout();
  readonly connector: EndpointConnector;
  private readonly forwarding: Forwarding | undefined;
  private readonly probes: LinkProbes;

  constructor(options: EndpointPathsOptions) {
    const {settings} = options;
    const {instance, dataCentre, forwarding} = settings;
    const {connectTimeout} = this;
    const logger = options.logger.forComponent('forwarding');
    const direct = new DirectConnector({...options, logger, connectTimeout});
    const probes = new LinkProbes({...options, direct, connectTimeout});
    this.probes = probes;
    const {address, publishWithinMs} = forwarding;
    if (address !== undefined) {
      this.forwarding = new Forwarding({
        ...options,
        instance,
        dataCentre,
        address,
        publishWithinMs,
        direct,
        logger,
      });
      direct.onIsolated = () => {
        this.forwarding?.refresh();
        probes.begin();
      };
    }
    this.connector = new EndpointConnector({
      ...options,
      direct,
      forwarded: this.forwarding,
    });
  }

  /** Connections that this instance forwards for others. */
  get inProgress(): number {
    return this.forwarding?.inProgress ?? 0;
  }

  /** Number of other instances that may forward connections. */
  get knownForwarders(): number {
    return this.forwarding?.knownForwarders ?? 0;
  }

  async start(): Promise<void> {
    await this.forwarding?.start();
  }

  /** The store was set back to a copy of itself. */
  noteSetBack(): void {
    this.forwarding?.noteSetBack();
  }

  stop(): void {
    this.probes.stop();
    this.forwarding?.stop();
  }
}
