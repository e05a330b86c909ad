/** Notices endpoints that answer again after they couldn't be reached. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/**
 * A shorter silence is usual: between two loads of an engine there is about a
 * second, and an instance learns them a second late.
 */
const GAP_MS = 3000;
/**
 * A gap is also at least this many times as long as usual between two signs of
 * the endpoint: slow ones with few requests answer every second or two.
 */
const GAP_INTERVALS = 5;
const INTERVAL_WEIGHT = 0.1;
/** Assumed of an endpoint that was not heard before. */
const FIRST_INTERVAL_MS = 1000;
/** A single failed attempt says little about an endpoint. */
const MIN_FAILURES = 2;

interface Signs {
  latestMs: number;
  /** Mean time between two signs without a gap. */
  intervalMs: number;
  /** Since when there was no gap between them. */
  steadySinceMs: number;
  /** Own failures since the latest sign. */
  failures: number;
}

/**
 * A sign of life is an answer to this instance or a load that was reported to
 * any instance. An endpoint has recovered when a sign follows a gap in which
 * its peers were heard, or in which own attempts have failed. When the loads of
 * all endpoints were missing, it was this instance or its links that paused.
 */
export class SignsOfLife {
  private readonly signs = new Map<EndpointId, Signs>();

  /** An attempt of this instance has failed. */
  noteFailure(id: EndpointId): void {
    const signs = this.signs.get(id);
    if (signs !== undefined) signs.failures += 1;
  }

  /**
   * Records a sign of life.
   *
   * @returns whether the endpoint has recovered with it.
   * @example
   * if (signs.note(id, () => peers, atMs)) begin('recovered');
   */
  note(
    id: EndpointId,
    peers: () => readonly Pick<ServingEndpoint, 'id'>[],
    atMs: number,
  ): boolean {
    const before = this.signs.get(id);
    if (before === undefined) {
      this.signs.set(id, {
        latestMs: atMs,
        intervalMs: FIRST_INTERVAL_MS,
        steadySinceMs: atMs,
        failures: 0,
      });
      return false;
    }
    const {latestMs, intervalMs} = before;
    if (atMs <= latestMs) return false;
    const isRecovered = this.isMissing(id, peers, atMs);
    const hasGap = this.hasGap(before, atMs);
    if (hasGap) before.steadySinceMs = atMs;
    else before.intervalMs += INTERVAL_WEIGHT * (atMs - latestMs - intervalMs);
    before.latestMs = atMs;
    before.failures = 0;
    return isRecovered;
  }

  /**
   * Whether an endpoint has shown no sign for long while its peers did, or while
   * own attempts failed.
   *
   * @example
   * if (signs.isMissing(endpoint.id, () => peers, nowMs)) return FIRST_SHARE;
   */
  isMissing(
    id: EndpointId,
    peers: () => readonly Pick<ServingEndpoint, 'id'>[],
    nowMs: number,
  ): boolean {
    const signs = this.signs.get(id);
    if (signs === undefined || !this.hasGap(signs, nowMs)) return false;
    if (signs.failures >= MIN_FAILURES) return true;
    const others = peers()
      .map(peer => peer.id)
      .filter(peer => peer !== id);
    return this.wereHeard(others, signs.latestMs, nowMs);
  }

  /** Forgets failures that this instance's own links have caused. */
  forgetFailures(): void {
    for (const signs of this.signs.values()) signs.failures = 0;
  }

  forget(id: EndpointId): void {
    this.signs.delete(id);
  }

  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.signs.keys()) {
      if (!ids.has(id)) this.signs.delete(id);
    }
  }

  private hasGap({latestMs, intervalMs}: Signs, nowMs: number): boolean {
    return nowMs - latestMs > Math.max(GAP_MS, GAP_INTERVALS * intervalMs);
  }

  /** Whether most peers had no gap in a period. */
  private wereHeard(
    peers: readonly EndpointId[],
    fromMs: number,
    untilMs: number,
  ): boolean {
    const heard = peers.filter(id => {
      const signs = this.signs.get(id);
      return (
        signs !== undefined &&
        signs.steadySinceMs <= fromMs &&
        untilMs - signs.latestMs <= GAP_MS
      );
    });
    return heard.length * 2 > peers.length;
  }
}
