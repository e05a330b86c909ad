/**
 * The rule by which a balancer picks instances for a caller's new connection.
 */

import type {DataCentreId} from '@snipestage/types/ids.js';

/** An instance as its balancer sees it. */
export interface BalancedInstance {
  readonly dataCentre: DataCentreId;
  /** Answered at least one of the last two readiness probes. */
  readonly isInRotation: boolean;
}

/** Input of {@link listCandidates}. */
export interface BalancerView<Instance extends BalancedInstance> {
  readonly instances: readonly Instance[];
  /** The caller's own data centre first, then the others by their distance. */
  readonly dataCentres: readonly DataCentreId[];
}

/**
 * Lists the instances of the nearest data centre that has one in rotation:
 * those in rotation or, when they are fewer than half, all of them, because the
 * few would be overloaded and the others may still work. New connections
 * therefore also reach instances that announced their stop long before. With
 * none in rotation anywhere, all instances are candidates.
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
