/** Which entry instances are there, as this one knows. */

import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';

/** Told after each change. */
export type ClusterListener = () => void;

/** Membership as the choice of cells needs it. */
export abstract class ClusterView {
  abstract get self(): Member;

  /** Members that take on work, this instance among them. */
  abstract live(): readonly Member[];

  /** These and the leaving ones, whose requests still run. */
  abstract present(): readonly Member[];

  abstract onChange(listener: ClusterListener): void;
}

/** An instance that knows of no other. */
export class AloneView extends ClusterView {
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
 * Ids of the members in a data centre.
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
