/** Starts and stops the server of an instance that relays. */

import type {Logger} from '@snipestage/log/logger.js';
import type {FollowerStats} from '@snipestage/routing/instance_estimate.js';
import type {RelayServer, RelayServerOptions} from './relay_server.js';
import type {RelayedTableName} from './relay_messages.js';

/** What a {@link RelayHost} is made from. */
export interface RelayHostOptions extends Omit<RelayServerOptions, 'address'> {
  /** `<IP number>:<port>`; undefined: it can't serve. */
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

  /** Who follows, and for how long they could; nobody while it doesn't serve. */
  get stats(): FollowerStats {
    const {server, servingSinceMs} = this;
    if (server === undefined) return {followers: 0, servingForMs: 0};
    const servingForMs = this.options.nowMs() - servingSinceMs;
    return {followers: server.followerCount, servingForMs};
  }

  /** The store has just been asked about a table. */
  confirm(name: RelayedTableName): void {
    this.server?.confirm(name);
  }

  /** Loads that came since the last time. */
  sendLoads(loads: Parameters<RelayServer['sendLoads']>[0]): void {
    this.server?.sendLoads(loads);
  }

  /** @returns whether it serves now. */
  async start(): Promise<boolean> {
    const {address, logger} = this.options;
    if (this.server !== undefined) return true;
    if (address === undefined || this.isClosed) return false;
    // Loaded where it is used: every start would pay for it.
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
