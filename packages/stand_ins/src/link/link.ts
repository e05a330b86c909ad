/** A TCP relay between two addresses, whose path can be made to fail. */

import {connect, createServer, type Server, type Socket} from 'node:net';
import {listenOn} from '../http/listen.js';
import {resetConnection} from '../http/reset.js';
import type {ListenOptions} from '../http/stand_in_server.js';

/** How a link starts. */
export interface LinkOptions extends ListenOptions {
  readonly targetHost?: string;
  readonly targetPort: number;
  /** One way. */
  readonly latencyMs?: number;
}

/**
 * - `pass`: bytes go both ways.
 * - `cut`: every connection, old and new, is reset.
 * - `refuse`: new connections are refused; old ones go on.
 * - `silent_existing`: connections that are open now carry nothing any more,
 *   for good and without a reset; new ones work.
 * - `drop_to_target`, `drop_to_client`: bytes one way don't arrive. A connection
 *   that lives on has them when the way is whole again, as TCP sends them until
 *   they are acknowledged: it never loses some in the middle.
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
  /** Lost track of by something between the ends. */
  isSilent: boolean;
  /** Under way when the way failed, in order. */
  readonly held: Record<Direction, Array<() => void>>;
}

type Direction = 'to_target' | 'to_client';

const DEFAULT_HOST = '127.0.0.1';

/** Relays whatever connects to it. */
export class Link {
  latencyMs: number;
  private readonly options: LinkOptions;
  private readonly host: string;
  private readonly relays = new Set<Relay>();
  private readonly server: Server;
  private port: number;
  private currentMode: LinkMode = 'pass';

  constructor(options: LinkOptions) {
    this.options = options;
    this.host = options.host ?? DEFAULT_HOST;
    this.port = options.port ?? 0;
    this.latencyMs = options.latencyMs ?? 0;
    this.server = createServer({allowHalfOpen: true}, client => {
      this.accept(client);
    });
  }

  get mode(): LinkMode {
    return this.currentMode;
  }

  get address(): string {
    return `${this.host}:${this.port}`;
  }

  get url(): string {
    return `http://${this.address}`;
  }

  /**
   * Listens, always on the port of its first start.
   *
   * @example
   * const link = new Link({targetPort: 9000});
   * await link.start();
   */
  async start(): Promise<void> {
    await this.listen();
  }

  /** Stops listening and resets what is open. */
  async stop(): Promise<void> {
    this.resetAll();
    await this.unlisten();
  }

  /**
   * Changes what becomes of bytes and connections.
   *
   * @example
   * await link.setMode('silent_existing');
   */
  async setMode(mode: LinkMode): Promise<void> {
    this.currentMode = mode;
    if (mode === 'refuse') await this.unlisten();
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
      for (const act of acts) this.later(relay, direction, act);
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
    this.pump(relay, client, target, 'to_target');
    this.pump(relay, target, client, 'to_client');
  }

  private pump(
    relay: Relay,
    from: Socket,
    to: Socket,
    direction: Direction,
  ): void {
    from.setNoDelay(true);
    from.on('data', chunk => {
      this.later(relay, direction, () => to.write(chunk));
    });
    from.on('end', () => {
      this.later(relay, direction, () => to.end());
    });
    from.on('error', () => {
      this.later(relay, direction, () => resetConnection(to));
    });
    from.once('close', () => {
      if (to.destroyed) this.relays.delete(relay);
    });
  }

  /** The path's state counts when the bytes arrive at it. */
  private later(relay: Relay, direction: Direction, act: () => void): void {
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
    this.port = await listenOn(this.server, this.port, this.host);
  }

  /** Returns at once: open connections may outlive the listener. */
  private async unlisten(): Promise<void> {
    if (this.server.listening) this.server.close();
  }
}
