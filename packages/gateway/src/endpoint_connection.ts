/** An open connection to an endpoint that carries one request. */

import type {Duplex} from 'node:stream';
import {closesCleanly} from '@snipestage/connection/closes_cleanly.js';
import type {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import type {Verdict} from '@snipestage/types/verdict.js';

/** Whether a connection leads to the endpoint itself or through an instance. */
export type ConnectionPath = 'direct' | 'forwarded';

/** Why no connection was opened; nothing was sent. */
export interface EndpointConnectFailure {
  readonly kind: 'failed';
  readonly path: ConnectionPath;
  /**
   * - `refused`, `timed_out`: the endpoint could not be reached.
   * - `not_serving`: by what the forwarder knows, it must get no requests.
   * - `isolated`: this instance reaches no endpoint, by no path.
   */
  readonly reason: 'refused' | 'timed_out' | 'not_serving' | 'isolated';
}

/** Never shared or reused. */
export abstract class EndpointConnection {
  readonly kind = 'open';
  abstract readonly path: ConnectionPath;
  /** Address of the instance that forwards it, if any. */
  readonly forwarder: string | undefined = undefined;
  /** Resolves at its end, with whether the endpoint closed without a reset. */
  abstract readonly closedCleanly: Promise<boolean>;
  /** `not_run` until bytes have been written. */
  abstract get verdict(): Verdict;
  /** Whether it broke between the two instances: nothing is known of the endpoint. */
  abstract get hasPathBroken(): boolean;
  /** What broke the path between the two instances, for the log. */
  get pathError(): string | undefined {
    return undefined;
  }
  /** Value for the `createConnection` option of `http.request`. */
  abstract createConnection(): Duplex;
  abstract reset(): void;
}

/** A TCP connection to the endpoint. */
export class DirectConnection extends EndpointConnection {
  readonly path = 'direct';
  readonly hasPathBroken = false;
  readonly closedCleanly: Promise<boolean>;

  constructor(private readonly connection: FreshConnection) {
    super();
    this.closedCleanly = closesCleanly(connection.createConnection());
  }

  get verdict(): Verdict {
    return this.connection.verdict;
  }

  createConnection(): Duplex {
    return this.connection.createConnection();
  }

  reset(): void {
    this.connection.reset();
  }
}
