/** Remembers endpoints that other endpoints' answers have shown to be gone. */

import type {EndpointId} from '@snipestage/types/ids.js';
import {isOtherIncarnation} from './endpoint_incarnations.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link GoneEndpoints}; defaults in brackets. */
export interface GoneEndpointsOptions {
  /**
   * How long an incarnation counts as gone (10,000 ms). None comes back, but a
   * single spoiled answer must not exclude a running endpoint for good.
   */
  readonly holdMs?: number;
  /**
   * The same where the start of the endpoint isn't known (2,000 ms): it may
   * have started again under its id, which its entry doesn't show.
   */
  readonly holdUnbornMs?: number;
}

type Located = Pick<ServingEndpoint, 'id' | 'bornEpochMs' | 'address'>;

interface GoneEndpoint {
  readonly endpoint: Located;
  readonly untilMs: number;
}

const DEFAULT_HOLD_MS = 10_000;
const DEFAULT_HOLD_UNBORN_MS = 2000;

/**
 * Holds for one incarnation at one address: another start under the same id and
 * an entry with another address are not affected.
 */
export class GoneEndpoints {
  private readonly gone = new Map<EndpointId, GoneEndpoint>();
  private readonly holdMs: number;
  private readonly holdUnbornMs: number;

  constructor(options: GoneEndpointsOptions = {}) {
    this.holdMs = options.holdMs ?? DEFAULT_HOLD_MS;
    this.holdUnbornMs = options.holdUnbornMs ?? DEFAULT_HOLD_UNBORN_MS;
  }

  /**
   * Records that another endpoint has answered at the address of this one.
   *
   * @returns whether this is new.
   * @example
   * if (match === 'other') gone.note(endpoint, nowMs);
   */
  note(endpoint: Located, nowMs: number): boolean {
    const isNew = !this.isGone(endpoint, nowMs);
    const {id, bornEpochMs, address} = endpoint;
    const holdMs = bornEpochMs === undefined ? this.holdUnbornMs : this.holdMs;
    this.gone.set(id, {
      endpoint: {id, bornEpochMs, address},
      untilMs: nowMs + holdMs,
    });
    return isNew;
  }

  /**
   * Whether a listed endpoint isn't at its address any more.
   *
   * @example
   * if (gone.isGone(placed.endpoint, nowMs)) return 'withheld';
   */
  isGone(listed: Located, nowMs: number): boolean {
    const known = this.gone.get(listed.id);
    if (known === undefined || nowMs >= known.untilMs) return false;
    const {endpoint} = known;
    return (
      endpoint.address === listed.address &&
      !isOtherIncarnation(endpoint, listed)
    );
  }

  /**
   * The listed endpoints without those that are gone.
   *
   * @example
   * const candidates = gone.leaveOut(listed, nowMs);
   */
  leaveOut(
    listed: readonly ServingEndpoint[],
    nowMs: number,
  ): readonly ServingEndpoint[] {
    if (this.gone.size === 0) return listed;
    return listed.filter(each => !this.isGone(each, nowMs));
  }

  /** Forgets all other endpoints. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.gone.keys()) {
      if (!ids.has(id)) this.gone.delete(id);
    }
  }
}
