/** The entry instances that this instance knows of. */

import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';

/** Called after each change of the membership. */
export type ClusterListener = () => void;

/** Membership, as needed to plan and choose cells. */
export abstract class ClusterView {
  abstract get self(): Member;

  /**
   * Members that accept new work, including this instance unless it is leaving.
   */
  abstract live(): readonly Member[];

  /** Live members and leaving ones, whose requests may still run. */
  abstract present(): readonly Member[];

  abstract onChange(listener: ClusterListener): void;
}

/** View of an instance that is the only member. */
export class SingleInstanceView extends ClusterView {
  constructor(readonly self: Member) {
    super();
  }

  live(): readonly Member[] {
    return [this.self];
  }

  present(): readonly Member[] {
    return [this.self];
  }

  onChange(): void {}
}

/**
 * Returns the ids of the members in a data centre.
 *
 * @example
 * const instances = instancesIn(view.live(), dataCentre);
 */
export function instancesIn(
  members: readonly Member[],
  dataCentre: DataCentreId,
): InstanceId[] {
  return members
    .filter(member => member.dataCentre === dataCentre)
    .map(member => member.id);
}
