/** Detects that a whole data centre can't be reached from this instance. */

import type {DataCentreId, EndpointId} from '@snipestage/types/ids.js';

/** Options of {@link DataCentreReach}; defaults in brackets. */
export interface DataCentreReachOptions {
  /** Endpoints in a row that could not be reached (2): one may be down. */
  readonly afterEndpoints?: number;
  /** Endpoints in a row that refused a connection (3): several may restart. */
  readonly afterRefusals?: number;
  /** How long its endpoints get no requests before one is tried (600 ms). */
  readonly pauseMs?: number;
  /** The pause doubles up to this (2,400 ms): partitions last for seconds. */
  readonly maxPauseMs?: number;
}

const DEFAULT_AFTER_ENDPOINTS = 2;
const DEFAULT_AFTER_REFUSALS = 3;
const DEFAULT_PAUSE_MS = 600;
const DEFAULT_MAX_PAUSE_MS = 2400;
/** A trial has failed by then: it is the longest connect timeout. */
const TRIAL_TIMEOUT_MS = 350;

interface Reach {
  readonly unreached: Set<EndpointId>;
  readonly refused: Set<EndpointId>;
  cutUntilMs: number;
  /** A request is probing whether the path works again. */
  trialUntilMs: number;
  nextPauseMs: number;
}

/**
 * When a data centre is cut off, finding each of its endpoints unreachable
 * would cost one request each that waits for a whole connect timeout. After two
 * endpoints in a row without a connection, all of them count as unreachable;
 * after a pause, which doubles each time, the next request tries again.
 *
 * When all endpoints of a data centre go down at once, their machines refuse
 * connections, and the list still names them for seconds. Refusals come back
 * within milliseconds, so a few more of them are needed.
 */
export class DataCentreReach {
  private readonly centres = new Map<DataCentreId, Reach>();
  private readonly afterEndpoints: number;
  private readonly afterRefusals: number;
  private readonly pauseMs: number;
  private readonly maxPauseMs: number;

  constructor(options: DataCentreReachOptions = {}) {
    this.afterEndpoints = options.afterEndpoints ?? DEFAULT_AFTER_ENDPOINTS;
    this.afterRefusals = options.afterRefusals ?? DEFAULT_AFTER_REFUSALS;
    this.pauseMs = options.pauseMs ?? DEFAULT_PAUSE_MS;
    this.maxPauseMs = options.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS;
  }

  /** A connection to an endpoint of the data centre was opened. */
  noteReached(dataCentre: DataCentreId): void {
    this.centres.delete(dataCentre);
  }

  /** Forgets all failures, which this instance's own links have caused. */
  clear(): void {
    this.centres.clear();
  }

  /**
   * A request is sent to the data centre. If that is suspected to be cut off,
   * this request is a trial: until its result is known, others go elsewhere.
   */
  noteTrial(dataCentre: DataCentreId, nowMs: number): void {
    const reach = this.centres.get(dataCentre);
    if (reach === undefined || !this.isSuspected(reach)) return;
    reach.trialUntilMs = nowMs + TRIAL_TIMEOUT_MS;
  }

  /** A connection to an endpoint of the data centre timed out. */
  noteUnreached(
    dataCentre: DataCentreId,
    endpoint: EndpointId,
    nowMs: number,
  ): void {
    const reach = this.of(dataCentre);
    reach.unreached.add(endpoint);
    this.suspect(reach, nowMs);
  }

  /** An endpoint of the data centre refused a connection. */
  noteRefused(
    dataCentre: DataCentreId,
    endpoint: EndpointId,
    nowMs: number,
  ): void {
    const reach = this.of(dataCentre);
    reach.refused.add(endpoint);
    this.suspect(reach, nowMs);
  }

  /**
   * Whether the data centre gets no requests for now.
   *
   * @example
   * const reachable = endpoints.filter(e => !reach.isCut(e.dataCentre, nowMs));
   */
  isCut(dataCentre: DataCentreId, nowMs: number): boolean {
    const reach = this.centres.get(dataCentre);
    if (reach === undefined) return false;
    return nowMs < Math.max(reach.cutUntilMs, reach.trialUntilMs);
  }

  private of(dataCentre: DataCentreId): Reach {
    const existing = this.centres.get(dataCentre);
    if (existing !== undefined) return existing;
    const reach = {
      unreached: new Set<EndpointId>(),
      refused: new Set<EndpointId>(),
      cutUntilMs: 0,
      trialUntilMs: 0,
      nextPauseMs: this.pauseMs,
    };
    this.centres.set(dataCentre, reach);
    return reach;
  }

  private suspect(reach: Reach, nowMs: number): void {
    // Failures of requests sent before the pause began are no new evidence.
    const isPauseOver = nowMs >= reach.cutUntilMs;
    if (!this.isSuspected(reach) || !isPauseOver) return;
    reach.cutUntilMs = nowMs + reach.nextPauseMs;
    reach.nextPauseMs = Math.min(this.maxPauseMs, 2 * reach.nextPauseMs);
  }

  private isSuspected({unreached, refused}: Reach): boolean {
    return (
      unreached.size >= this.afterEndpoints ||
      refused.size >= this.afterRefusals
    );
  }
}
