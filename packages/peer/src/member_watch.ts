/**
 * Tracks the neighbours and the expected frames, and handles member changes.
 */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {LinkManager} from './link_manager.js';
import type {MemberChange, Membership} from './membership.js';
import type {NetworkHandlers} from './network_handlers.js';
import {findNeighbours} from './overlay.js';
import type {PeerContact} from './peer_contact.js';

/** Options of {@link MemberWatch}. */
export interface MemberWatchOptions {
  readonly membership: Membership;
  readonly linkManager: LinkManager;
  readonly handlers: NetworkHandlers;
}

/**
 * Has the membership check for silent members, and applies each change to the
 * set of neighbours, the queues and the handlers.
 *
 * @example
 * const watch = new MemberWatch({membership, linkManager, handlers});
 * watch.judgeSilence(nowMs);
 */
export class MemberWatch {
  private currentNeighbours: ReadonlySet<InstanceId> = new Set();

  constructor(private readonly options: MemberWatchOptions) {}

  /** Instances to which a stream is kept open for heartbeats and gossip. */
  get neighbours(): ReadonlySet<InstanceId> {
    return this.currentNeighbours;
  }

  /**
   * Suspects members that have been silent for too long, or holds them dead.
   */
  judgeSilence(nowMs: number): void {
    const watched = new Set(this.neighbours);
    const exempt = new Set<InstanceId>();
    for (const contact of this.options.linkManager.contacts.values()) {
      if (contact.isConnected) watched.add(contact.id);
      const isFirstDial = contact.failedDials === 0;
      if (contact.dialling && isFirstDial) exempt.add(contact.id);
    }
    this.options.membership.tick(nowMs, watched, exempt);
    this.publishChanges();
  }

  /** Passes all changes not yet published to the handlers. */
  publishChanges(): void {
    const {membership, handlers} = this.options;
    const changes = membership.takeChanges();
    if (changes.length === 0) return;
    this.currentNeighbours = new Set(
      findNeighbours(membership.self, membership.others()),
    );
    for (const change of changes) this.dropIfIncarnationEnded(change);
    handlers.notifyChanges(changes);
  }

  /**
   * Passes the records queued for an instance to the handlers as undelivered.
   */
  dropOutgoing(contact: PeerContact): void {
    contact.takeRumours();
    this.options.handlers.notifyUndelivered(contact.id, contact.takeRecords());
  }

  /** Records queued for an ended incarnation mean nothing to the next one. */
  private dropIfIncarnationEnded({member, previous}: MemberChange): void {
    const isOtherIncarnation = previous?.incarnation !== member.incarnation;
    if (member.state !== 'dead' && !isOtherIncarnation) return;
    const contact = this.options.linkManager.contacts.get(member.id);
    if (contact !== undefined) this.dropOutgoing(contact);
  }
}
