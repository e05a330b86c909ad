/** To which instances a balancer sends a caller's new connection. */

import type {DataCentreId} from '@snipestage/types/ids.js';

/** An instance as its balancer sees it. */
export interface BalancedInstance {
  readonly dataCentre: DataCentreId;
  /** Answered one of the last two questions whether it is ready. */
  readonly isInRotation: boolean;
}

/** What a choice is made from. */
export interface BalancerView<Instance extends BalancedInstance> {
  readonly instances: readonly Instance[];
  /** The caller's own data centre first, then the others by their distance. */
  readonly dataCentres: readonly DataCentreId[];
}

/**
 * The nearest data centre with an instance in rotation serves. Where fewer than
 * half of its instances are in rotation all of them are used: rather those that
 * may still work than a few that would be overrun. So new connections also reach
 * instances that have said long ago that they stop.
 *
 * @example
 * const instances = listCandidates({instances: seen, dataCentres: ['a', 'b']});
 */
export function listCandidates<Instance extends BalancedInstance>(
  view: BalancerView<Instance>,
): readonly Instance[] {
  for (const dataCentre of view.dataCentres) {
    const all = view.instances.filter(each => each.dataCentre === dataCentre);
    const ready = all.filter(({isInRotation}) => isInRotation);
    if (ready.length === 0) continue;
    return ready.length * 2 < all.length ? all : ready;
  }
  return view.instances;
}
