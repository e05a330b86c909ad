/** Notices that a whole data centre can't be reached from here. */

import type {DataCentreId, EndpointId} from '@snipestage/types/ids.js';

/** What a {@link DataCentreReach} is made from; defaults in the brackets. */
export interface DataCentreReachOptions {
  /** Endpoints in a row that could not be reached (2): one may be down. */
  readonly afterEndpoints?: number;
  /** Endpoints in a row that refused a connection (3): several may restart. */
  readonly afterRefusals?: number;
  /** How long its endpoints are left alone before one is tried (600 ms). */
  readonly pauseMs?: number;
  /** The pause doubles up to this (2,400 ms): cuts last for seconds. */
  readonly maxPauseMs?: number;
}

const DEFAULT_AFTER_ENDPOINTS = 2;
const DEFAULT_AFTER_REFUSALS = 3;
const DEFAULT_PAUSE_MS = 600;
const DEFAULT_MAX_PAUSE_MS = 2400;
/** A trial has failed by then: connections are waited for no longer. */
const TRIAL_MS = 350;

interface Reach {
  readonly unreached: Set<EndpointId>;
  readonly refused: Set<EndpointId>;
  cutUntilMs: number;
  /** A request is probing whether the path works again. */
  trialUntilMs: number;
  nextPauseMs: number;
}

/**
 * When the way to a data centre is cut, each of its endpoints has to be found
 * unreachable by a request of its own, which waits out a whole connect timeout
 * for that. After two in a row without an answer from there, all of them count as
 * unreachable; after a pause, which doubles, the next request tries again.
 *
 * When all endpoints of a data centre go down at once, their machines refuse
 * connections, and the list still names them for seconds. Refusals come back
 * within milliseconds, so that a few more of them are waited for.
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

  /** An endpoint there gave a connection. */
  noteReached(dataCentre: DataCentreId): void {
    this.centres.delete(dataCentre);
  }

  /**
   * A request is sent there. Where the data centre was held for cut, this one
   * tries the way for all: others that come before it is known go elsewhere.
   */
  noteTrial(dataCentre: DataCentreId, nowMs: number): void {
    const reach = this.centres.get(dataCentre);
    if (reach === undefined || !this.isSuspected(reach)) return;
    reach.trialUntilMs = nowMs + TRIAL_MS;
  }

  /** No connection to an endpoint there. */
  noteUnreached(
    dataCentre: DataCentreId,
    endpoint: EndpointId,
    nowMs: number,
  ): void {
    const reach = this.of(dataCentre);
    reach.unreached.add(endpoint);
    this.suspect(reach, nowMs);
  }

  /** An endpoint there refused a connection. */
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
    // Requests that were under way when it was held for cut are no new tries.
    const isNews = nowMs >= reach.cutUntilMs;
    if (!this.isSuspected(reach) || !isNews) return;
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
