/** Compares an endpoint that is ramping up with those that aren't. */

import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import {MIN_WAITING} from './placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import type {RampSign} from './start_ramp.js';

/** Options of {@link SettledPeers}. */
export interface SettledPeersOptions {
  readonly monitor: EndpointMonitor;
  /** Endpoints of a service that may get requests. */
  readonly findServing: (
    service: ServiceId,
    nowMs: number,
  ) => readonly ServingEndpoint[];
  readonly isRamping: (id: EndpointId) => boolean;
}

/**
 * Work takes 2.5 times as long for some hundred milliseconds on shared machines;
 * an answer counts as late above that only.
 */
export const LATE_RATIO = 3;
/** Requests by which an engine's load may exceed its expected one by chance. */
const LOAD_SLACK_REQUESTS = 3;
/** By how much the load of settled peers may rise for the sake of others. */
const MAX_PEER_FACTOR = 1.5;

/** The endpoints of a service that are reachable and get their whole share. */
export class SettledPeers {
  constructor(private readonly options: SettledPeersOptions) {}

  /**
   * Late if requests wait at the endpoint and not at most of its peers, or if it
   * has more of them than its share: then each takes longer there.
   *
   * @returns undefined when there is nothing to compare with.
   * @example
   * const sign = peers.judgeLoad(endpoint, 0.25, nowMs);
   */
  judgeLoad(
    endpoint: ServingEndpoint,
    share: number,
    nowMs: number,
  ): RampSign | undefined {
    const {monitor} = this.options;
    const peers = this.find(endpoint, nowMs);
    if (peers.length === 0) return undefined;
    const isWaiting = ({id}: ServingEndpoint): boolean =>
      monitor.estimateWaiting(id, nowMs) >= MIN_WAITING;
    if (peers.filter(isWaiting).length * 2 > peers.length) return undefined;
    if (isWaiting(endpoint)) return 'late';
    const sum = peers.reduce(
      (total, {id}) => total + monitor.estimateLoad(id, nowMs),
      0,
    );
    const expected = (sum / peers.length) * share;
    const load = monitor.estimateLoad(endpoint.id, nowMs);
    const isMore = load > LATE_RATIO * expected + LOAD_SLACK_REQUESTS;
    return isMore ? 'late' : 'equal';
  }

  /**
   * The share below which the peers would get too much; 1 when there are none,
   * since there is nothing to compare with then.
   */
  leastShare({service}: ServingEndpoint, nowMs: number): number {
    const {monitor, findServing, isRamping} = this.options;
    const all = findServing(service, nowMs).filter(
      ({id}) => !monitor.isDown(id, nowMs),
    );
    const settled = all.filter(({id}) => !isRamping(id)).length;
    if (settled === 0) return 1;
    const ramping = Math.max(1, all.length - settled);
    return Math.max(0, (all.length / MAX_PEER_FACTOR - settled) / ramping);
  }

  /** Whether none of the peers can begin a request at once. */
  doAllWait(endpoint: ServingEndpoint, nowMs: number): boolean {
    const {monitor} = this.options;
    return this.find(endpoint, nowMs).every(
      ({id, capacity}) =>
        monitor.estimateWaiting(id, nowMs) >= MIN_WAITING ||
        monitor.estimateLoad(id, nowMs) >= capacity,
    );
  }

  private find(
    {service}: ServingEndpoint,
    nowMs: number,
  ): readonly ServingEndpoint[] {
    const {monitor, findServing, isRamping} = this.options;
    return findServing(service, nowMs).filter(
      ({id}) => !isRamping(id) && !monitor.isDown(id, nowMs),
    );
  }
}
