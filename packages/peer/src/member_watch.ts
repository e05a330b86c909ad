/** Who the neighbours are, who is due to be heard, and what each change means. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {LinkKeeper} from './link_keeper.js';
import type {MemberChange, Membership} from './membership.js';
import type {NetworkHandlers} from './network_handlers.js';
import {findNeighbours} from './overlay.js';
import type {PeerContact} from './peer_contact.js';

/** What a {@link MemberWatch} is made from. */
export interface MemberWatchOptions {
  readonly membership: Membership;
  readonly keeper: LinkKeeper;
  readonly handlers: NetworkHandlers;
}

/**
 * Lets the membership judge silence, and carries each change of it to the
 * neighbours, the queues and the handlers.
 *
 * @example
 * const watch = new MemberWatch({membership, keeper, handlers});
 * watch.judgeSilence(nowMs);
 */
export class MemberWatch {
  private currentNeighbours: ReadonlySet<InstanceId> = new Set();

  constructor(private readonly options: MemberWatchOptions) {}

  /** With whom a stream is to be kept open for heartbeats and gossip. */
  get neighbours(): ReadonlySet<InstanceId> {
    return this.currentNeighbours;
  }

  /** Suspects or gives up members that have been silent for too long. */
  judgeSilence(nowMs: number): void {
    const watched = new Set(this.neighbours);
    const spared = new Set<InstanceId>();
    for (const contact of this.options.keeper.contacts.values()) {
      if (contact.isConnected) watched.add(contact.id);
      const isFirstDial = contact.failedDials === 0;
      if (contact.dialling && isFirstDial) spared.add(contact.id);
    }
    this.options.membership.tick(nowMs, watched, spared);
    this.publishChanges();
  }

  /** Tells the handlers of all changes that they have not been told of. */
  publishChanges(): void {
    const {membership, handlers} = this.options;
    const changes = membership.takeChanges();
    if (changes.length === 0) return;
    this.currentNeighbours = new Set(
      findNeighbours(membership.self, membership.others()),
    );
    for (const change of changes) this.dropIfLifeEnded(change);
    handlers.tellChanges(changes);
  }

  /** Hands back the records that wait for an instance. */
  dropOutgoing(contact: PeerContact): void {
    contact.takeRumours();
    this.options.handlers.tellUndelivered(contact.id, contact.takeRecords());
  }

  /** What was queued for a life that has ended means nothing to the next. */
  private dropIfLifeEnded({member, previous}: MemberChange): void {
    const isOtherLife = previous?.incarnation !== member.incarnation;
    if (member.state !== 'dead' && !isOtherLife) return;
    const contact = this.options.keeper.contacts.get(member.id);
    if (contact !== undefined) this.dropOutgoing(contact);
  }
}
