/** Detects that this instance can't open a connection to any endpoint. */

import type {EndpointId} from '@snipestage/types/ids.js';

/** Options of {@link InstanceIsolation}; defaults in brackets. */
export interface InstanceIsolationOptions {
  /** Endpoints to which connections timed out (2): one may be down. */
  readonly afterTimeouts?: number;
  /** Endpoints that refused a connection (3): several may restart. */
  readonly afterRefusals?: number;
  /** Time between two probes while isolated (400 ms). */
  readonly probeEveryMs?: number;
}

/** An endpoint to which no connection could be opened. */
export interface FailedConnection {
  readonly endpoint: EndpointId;
  readonly startedAtMs: number;
  /** The connection timed out; otherwise it was refused. */
  readonly hasTimedOut: boolean;
  /** Number of endpoints that the instance knows. */
  readonly knownEndpoints: number;
}

const DEFAULT_AFTER_TIMEOUTS = 2;
const DEFAULT_AFTER_REFUSALS = 3;
const DEFAULT_PROBE_EVERY_MS = 400;

/**
 * An instance that has lost its own links finds one endpoint after the other
 * unreachable, although all of them serve other instances. Several failures
 * without a connection to any endpoint in between therefore count against the
 * instance; a single connection ends its isolation.
 */
export class InstanceIsolation {
  private readonly timedOut = new Set<EndpointId>();
  private readonly refused = new Set<EndpointId>();
  private connectedAtMs = Number.NEGATIVE_INFINITY;
  private isolatedAtMs: number | undefined;
  private nextProbeAtMs = 0;
  private areConnectionsSilent = false;
  private readonly afterTimeouts: number;
  private readonly afterRefusals: number;
  private readonly probeEveryMs: number;

  constructor(options: InstanceIsolationOptions = {}) {
    this.afterTimeouts = options.afterTimeouts ?? DEFAULT_AFTER_TIMEOUTS;
    this.afterRefusals = options.afterRefusals ?? DEFAULT_AFTER_REFUSALS;
    this.probeEveryMs = options.probeEveryMs ?? DEFAULT_PROBE_EVERY_MS;
  }

  get isIsolated(): boolean {
    return this.isolatedAtMs !== undefined;
  }

  /**
   * Whether connections time out while it is isolated, so that each attempt is
   * expensive. A refusal costs a round trip, and may as well mean that the few
   * endpoints that were tried are down.
   */
  get hasSilentLinks(): boolean {
    return this.isIsolated && this.areConnectionsSilent;
  }

  /**
   * Records a connection to an endpoint.
   *
   * @returns how long the isolation lasted that has ended with it; undefined
   *   when there was none.
   * @example
   * const endedAfterMs = isolation.noteConnected(nowMs);
   */
  noteConnected(nowMs: number): number | undefined {
    const {isolatedAtMs} = this;
    this.connectedAtMs = nowMs;
    this.timedOut.clear();
    this.refused.clear();
    this.isolatedAtMs = undefined;
    this.areConnectionsSilent = false;
    return isolatedAtMs === undefined ? undefined : nowMs - isolatedAtMs;
  }

  /**
   * Records a failure to connect to an endpoint.
   *
   * @returns whether the instance counts as isolated from now on.
   * @example
   * const hasBegun = isolation.noteFailed(failed, nowMs);
   */
  noteFailed(failed: FailedConnection, nowMs: number): boolean {
    // Since then, a connection to another endpoint was opened.
    if (failed.startedAtMs < this.connectedAtMs) return false;
    (failed.hasTimedOut ? this.timedOut : this.refused).add(failed.endpoint);
    this.areConnectionsSilent = this.haveEnoughTimedOut(failed.knownEndpoints);
    if (this.isIsolated || !this.isSuspected(failed.knownEndpoints)) {
      return false;
    }
    this.isolatedAtMs = nowMs;
    this.nextProbeAtMs = nowMs + this.probeEveryMs;
    return true;
  }

  /**
   * Whether the instance has connected to an endpoint since then, so that a
   * failure to connect to another one is that one's.
   */
  hasConnectedSince(atMs: number): boolean {
    return this.connectedAtMs >= atMs;
  }

  /**
   * Whether to find out now if endpoints can be reached again. True once per
   * interval, so that a link that is back isn't tried by all requests at once.
   */
  takeProbe(nowMs: number): boolean {
    if (!this.isIsolated || nowMs < this.nextProbeAtMs) return false;
    this.nextProbeAtMs = nowMs + this.probeEveryMs;
    return true;
  }

  /** Time until the next probe; 0 while the instance isn't isolated. */
  probeLeftMs(nowMs: number): number {
    return this.isIsolated ? Math.max(0, this.nextProbeAtMs - nowMs) : 0;
  }

  private isSuspected(knownEndpoints: number): boolean {
    const failed = new Set([...this.timedOut, ...this.refused]);
    return (
      this.haveEnoughTimedOut(knownEndpoints) ||
      failed.size >= Math.min(this.afterRefusals, knownEndpoints)
    );
  }

  private haveEnoughTimedOut(knownEndpoints: number): boolean {
    return this.timedOut.size >= Math.min(this.afterTimeouts, knownEndpoints);
  }
}
