/** Remembers which engines have lately been on the long side of the split. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link SideHistory}; default in brackets. */
export interface SideHistoryOptions {
  /** Time in which most long prompts are processed and answered (2,000 ms). */
  readonly settleMs?: number;
}

const DEFAULT_SETTLE_MS = 2000;

/**
 * Load pattern: the short side grows, as a burst of short requests begins or
 * engines are lost. The engines that it takes over are still processing long
 * prompts, between which the short requests' streams would pause. They come
 * last on the short side until those prompts are done.
 */
export class SideHistory {
  private readonly longAtMs = new Map<EndpointId, number>();
  private readonly settleMs: number;

  constructor(options: SideHistoryOptions = {}) {
    this.settleMs = options.settleMs ?? DEFAULT_SETTLE_MS;
  }

  /** Engines of the long side at this moment. */
  noteLong(engines: readonly ServingEndpoint[], nowMs: number): void {
    for (const {id} of engines) this.longAtMs.set(id, nowMs);
  }

  /**
   * Engines of the short side, those that were on the long side lately last.
   *
   * @example
   * const {ordered, settled} = history.order(shortSide, nowMs);
   */
  order(
    engines: readonly ServingEndpoint[],
    nowMs: number,
  ): {readonly ordered: readonly ServingEndpoint[]; readonly settled: number} {
    const isSettled = ({id}: ServingEndpoint): boolean =>
      nowMs - (this.longAtMs.get(id) ?? -Infinity) >= this.settleMs;
    const settled = engines.filter(isSettled);
    const others = engines.filter(each => !isSettled(each));
    return {ordered: [...settled, ...others], settled: settled.length};
  }

  /** Forgets engines that are gone. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.longAtMs.keys()) {
      if (!ids.has(id)) this.longAtMs.delete(id);
    }
  }
}
