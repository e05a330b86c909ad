/** How many endpoints of each kind every data centre should run. */

import type {DataCentreId, ServiceId} from '@snipestage/types/ids.js';
import type {ScalingLimits} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Absolute number of endpoints of one kind in one data centre. */
export interface CapacityTarget {
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly isCheap: boolean;
  readonly count: number;
}

/** What a plan is made from. */
export interface CapacityInput {
  readonly service: ServiceId;
  readonly scaling: ScalingLimits;
  /** Data centres in which the service runs. */
  readonly dataCentres: readonly DataCentreId[];
  /** Endpoints that the demand needs, in endpoints of one kind. */
  readonly needed: number;
}

/**
 * Regular endpoints carry what has to go on when the cheap ones of one data
 * centre are taken away at once; cheap ones, a fraction of the price, carry the
 * rest and the peaks.
 *
 * All cheap endpoints of a data centre vanish together. Spread evenly over the
 * data centres, a reclaim takes one share of them. The regular floor is one
 * endpoint in each data centre, or what the limits ask for.
 *
 * @example
 * const targets = planCapacity(input);
 */
export function planCapacity(input: CapacityInput): readonly CapacityTarget[] {
  const {service, scaling, dataCentres} = input;
  if (dataCentres.length === 0) return [];
  const regularEach = Math.max(1, scaling.minCount);
  const cheapEach = cheapInEach(input, regularEach);
  return dataCentres.flatMap(dataCentre => {
    const cheap = Math.min(cheapEach, scaling.maxCount - regularEach);
    return [
      {service, dataCentre, isCheap: false, count: regularEach},
      {service, dataCentre, isCheap: true, count: Math.max(0, cheap)},
    ];
  });
}

/**
 * Endpoints above what operators began with. Bursts of one class come to about
 * twice its usual within a second, and an endpoint takes seconds to boot, so
 * that the room has to be there before; cheap ones cost about a fifth.
 */
const BURST_HEADROOM = 1.6;

/** Enough for the demand when one data centre's cheap ones are away. */
function cheapInEach(input: CapacityInput, regularEach: number): number {
  const centres = input.dataCentres.length;
  const wanted = Math.ceil(input.needed * BURST_HEADROOM);
  const missing = Math.max(0, wanted - regularEach * centres);
  const lossProof = centres > 1 ? centres - 1 : 1;
  return Math.ceil(missing / lossProof);
}

/** Endpoints of a kind that a data centre runs and keeps. */
export function countPresent(
  endpoints: readonly ServingEndpoint[],
  target: Omit<CapacityTarget, 'count'>,
): number {
  return endpoints.filter(
    endpoint =>
      !endpoint.isLeaving &&
      endpoint.service === target.service &&
      endpoint.dataCentre === target.dataCentre &&
      endpoint.isCheap === target.isCheap,
  ).length;
}
