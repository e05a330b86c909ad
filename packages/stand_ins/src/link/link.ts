/** A TCP relay that simulates network failures between two addresses. */

import {connect, createServer, type Server, type Socket} from 'node:net';
import {listenOn} from '../http/listen.js';
import {resetConnection} from '../http/reset.js';
import type {ListenOptions} from '../http/stand_in_server.js';

/** Options of {@link Link}. */
export interface LinkOptions extends ListenOptions {
  readonly targetHost?: string;
  readonly targetPort: number;
  /** Delay added in each direction. */
  readonly latencyMs?: number;
}

/**
 * - `pass`: bytes are relayed in both directions.
 * - `cut`: every connection, existing or new, is reset.
 * - `refuse`: new connections are refused; existing ones continue.
 * - `silent_existing`: connections that are open now carry nothing any more,
 *   permanently and without a reset; new ones work.
 * - `drop_to_target`, `drop_to_client`: bytes in this direction don't arrive.
 *   If the connection is still open when the direction works again, they are
 *   delivered then, as TCP retransmits until bytes are acknowledged: a
 *   connection never loses bytes in the middle.
 */
export const LINK_MODES = [
  'pass',
  'cut',
  'refuse',
  'silent_existing',
  'drop_to_target',
  'drop_to_client',
] as const;

export type LinkMode = (typeof LINK_MODES)[number];

interface Relay {
  readonly client: Socket;
  readonly target: Socket;
  /**
   * Whether bytes, ends and resets are discarded for good, as when a device on
   * the path has lost the state of the connection.
   */
  isSilent: boolean;
  /** Actions held back while their direction is dropped, in order. */
  readonly held: Record<Direction, Array<() => void>>;
}

type Direction = 'to_target' | 'to_client';

const DEFAULT_HOST = '127.0.0.1';

/** Relays each connection that it accepts to the target. */
export class Link {
  latencyMs: number;
  private readonly options: LinkOptions;
  private readonly host: string;
  private readonly relays = new Set<Relay>();
  private readonly server: Server;
  private listenPort: number;
  private currentMode: LinkMode = 'pass';
  private isStopped = false;

  constructor(options: LinkOptions) {
    this.options = options;
    this.host = options.host ?? DEFAULT_HOST;
    this.listenPort = options.port ?? 0;
    this.latencyMs = options.latencyMs ?? 0;
    this.server = createServer({allowHalfOpen: true}, client => {
      this.accept(client);
    });
  }

  get mode(): LinkMode {
    return this.currentMode;
  }

  /** Port on which it listens; 0 before the start. */
  get port(): number {
    return this.listenPort;
  }

  get address(): string {
    return `${this.host}:${this.listenPort}`;
  }

  get url(): string {
    return `http://${this.address}`;
  }

  /**
   * Starts listening; a restart uses the port of the first start.
   *
   * @example
   * const link = new Link({targetPort: 9000});
   * await link.start();
   */
  async start(): Promise<void> {
    this.isStopped = false;
    await this.listen();
  }

  /** Stops listening and resets the open connections. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.resetAll();
    await this.stopListening();
  }

  /**
   * Sets how bytes and connections are handled from now on.
   *
   * @example
   * await link.setMode('silent_existing');
   */
  async setMode(mode: LinkMode): Promise<void> {
    this.currentMode = mode;
    // Another link may have the port by now.
    if (this.isStopped) return;
    if (mode === 'refuse') await this.stopListening();
    else await this.listen();
    if (mode === 'cut') this.resetAll();
    if (mode === 'silent_existing') {
      for (const relay of this.relays) relay.isSilent = true;
    }
    this.sendHeld('to_target');
    this.sendHeld('to_client');
  }

  private sendHeld(direction: Direction): void {
    if (this.currentMode === `drop_${direction}`) return;
    for (const relay of this.relays) {
      const acts = relay.held[direction].splice(0);
      for (const act of acts) this.deliver(relay, direction, act);
    }
  }

  private accept(client: Socket): void {
    if (this.currentMode === 'cut') {
      resetConnection(client);
      return;
    }
    const target = connect({
      host: this.options.targetHost ?? DEFAULT_HOST,
      port: this.options.targetPort,
      allowHalfOpen: true,
    });
    const held = {to_target: [], to_client: []};
    const relay: Relay = {client, target, isSilent: false, held};
    this.relays.add(relay);
    this.forward(relay, client, target, 'to_target');
    this.forward(relay, target, client, 'to_client');
  }

  private forward(
    relay: Relay,
    from: Socket,
    to: Socket,
    direction: Direction,
  ): void {
    from.setNoDelay(true);
    from.on('data', chunk => {
      this.deliver(relay, direction, () => {
        if (!to.write(chunk)) from.pause();
      });
    });
    to.on('drain', () => from.resume());
    to.once('close', () => from.resume());
    from.on('end', () => {
      // libuv reports a reset that arrives with the last bytes as an end; the
      // kernel no longer knows a peer address then.
      const isReset = from.remoteAddress === undefined;
      this.deliver(relay, direction, () => {
        if (isReset) resetConnection(to);
        else to.end();
      });
    });
    from.on('error', () => {
      this.deliver(relay, direction, () => resetConnection(to));
    });
    from.once('close', () => {
      if (to.destroyed) this.relays.delete(relay);
    });
  }

  /**
   * Performs an action after the latency. The state of the path at the time of
   * this call decides whether it is performed, held back or discarded.
   */
  private deliver(relay: Relay, direction: Direction, act: () => void): void {
    if (relay.isSilent) return;
    if (this.currentMode === `drop_${direction}`) {
      relay.held[direction].push(act);
      return;
    }
    if (this.latencyMs === 0) act();
    else setTimeout(act, this.latencyMs);
  }

  private resetAll(): void {
    for (const {client, target} of this.relays) {
      resetConnection(client);
      resetConnection(target);
    }
    this.relays.clear();
  }

  private async listen(): Promise<void> {
    if (this.server.listening) return;
    this.listenPort = await listenOn(this.server, this.listenPort, this.host);
  }

  /** Doesn't wait for the server's close: connections may stay open. */
  private async stopListening(): Promise<void> {
    if (this.server.listening) this.server.close();
  }
}
