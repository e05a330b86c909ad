/** Starts and stops the server of a relay. */

import type {Logger} from '@snipestage/log/logger.js';
import type {FollowerStats} from '@snipestage/routing/instance_estimate.js';
import type {RelayServer, RelayServerOptions} from './relay_server.js';
import type {RelayedTableName} from './relay_messages.js';

/** Options of {@link RelayHost}. */
export interface RelayHostOptions extends Omit<RelayServerOptions, 'address'> {
  /** `<IP address>:<port>`; undefined: this instance never relays. */
  readonly address: string | undefined;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Owns the server while there is one. */
export class RelayHost {
  private server: RelayServer | undefined;
  private servingSinceMs = 0;
  private isClosed = false;

  constructor(private readonly options: RelayHostOptions) {}

  get isServing(): boolean {
    return this.server !== undefined;
  }

  /** Number of followers, and for how long the server has been up. */
  get stats(): FollowerStats {
    const {server, servingSinceMs} = this;
    if (server === undefined) return {followers: 0, servingForMs: 0};
    const servingForMs = this.options.nowMs() - servingSinceMs;
    return {followers: server.followerCount, servingForMs};
  }

  /** Publishes a table's state to followers after the store was read. */
  confirm(name: RelayedTableName, storeMs: number | undefined): void {
    this.server?.confirm(name, storeMs);
  }

  /** Sends new readings to all followers and connected relays. */
  sendLoads(loads: Parameters<RelayServer['sendLoads']>[0]): void {
    this.server?.sendLoads(loads);
  }

  /** @returns whether the server is up. */
  async start(): Promise<boolean> {
    const {address, logger} = this.options;
    if (this.server !== undefined) return true;
    if (address === undefined || this.isClosed) return false;
    // Loading gRPC takes processor time that most starts don't need.
    const {RelayServer} = await import('./relay_server.js');
    const server = new RelayServer({...this.options, address});
    try {
      await server.start();
    } catch (error) {
      logger.error('relay_not_started', {address, error: String(error)});
      return false;
    }
    if (this.isClosed) {
      server.stop();
      return false;
    }
    this.server = server;
    this.servingSinceMs = this.options.nowMs();
    return true;
  }

  stop(): void {
    this.server?.stop();
    this.server = undefined;
  }

  /** Stops for good. */
  close(): void {
    this.isClosed = true;
    this.stop();
  }
}
