/** Finds out when an isolated instance reaches endpoints again. */

import type {ConnectTimeout} from '@snipestage/routing/connect_timeout.js';
import type {DirectConnector} from './direct_connector.js';
import type {RoutingState} from './routing_state.js';

/** Options of {@link LinkProbes}; default in the brackets. */
export interface LinkProbesOptions {
  readonly state: RoutingState;
  readonly direct: DirectConnector;
  readonly connectTimeout: ConnectTimeout;
  readonly nowMs: () => number;
  /** At least 0 and below 1 ({@link Math.random}). */
  readonly random?: () => number;
}

/**
 * Connects to one endpoint after the other while the instance is isolated. Its own
 * requests do that as well, but it may get none, and until its links are known to
 * be back it forwards nothing for others.
 */
export class LinkProbes {
  private timer: NodeJS.Timeout | undefined;
  private readonly cancellation = new AbortController();

  constructor(private readonly options: LinkProbesOptions) {}

  /**
   * Begins when the instance counts as isolated; ends by itself.
   *
   * @example
   * direct.onIsolated = () => probes.begin();
   */
  begin(): void {
    if (this.timer === undefined) this.schedule();
  }

  stop(): void {
    this.cancellation.abort();
    clearTimeout(this.timer);
  }

  private schedule(): void {
    const {state, nowMs} = this.options;
    if (this.cancellation.signal.aborted) return;
    const delayMs = state.isolation.probeLeftMs(nowMs());
    this.timer = setTimeout(() => void this.probe(), delayMs);
    this.timer.unref();
  }

  private async probe(): Promise<void> {
    const {state, nowMs} = this.options;
    // A request may have done so in the meantime.
    if (state.isolation.takeProbe(nowMs())) await this.connect();
    this.timer = undefined;
    if (state.isolation.isIsolated) this.schedule();
  }

  private async connect(): Promise<void> {
    const {state, direct, connectTimeout, random = Math.random} = this.options;
    const endpoints = state.directory.readAll();
    if (endpoints.length === 0) return;
    const connection = await direct.open({
      endpoint: endpoints[Math.floor(random() * endpoints.length)],
      timeoutMs: connectTimeout.timeoutMs,
      signal: this.cancellation.signal,
    });
    if (connection.kind === 'open') connection.reset();
  }
}
