/** Queues the member updates that each neighbour has yet to receive. */

import type {InstanceId} from '@snipestage/types/ids.js';

/** Whether an update warrants a frame of its own. */
export type Urgency = 'at_once' | 'with_next_frame';

/**
 * Each update goes once over each stream: urgent ones first, then newest first.
 * {@link takeRoundRobin} gives members to fill the rest of a frame with, which
 * repairs what a broken stream has lost.
 */
export class GossipQueue {
  /** By neighbour, the members with an update to send, oldest first. */
  private readonly pending = new Map<InstanceId, Map<InstanceId, Urgency>>();
  private cursor = 0;

  /** Starts a queue for a neighbour. */
  open(neighbour: InstanceId): void {
    if (!this.pending.has(neighbour)) this.pending.set(neighbour, new Map());
  }

  close(neighbour: InstanceId): void {
    this.pending.delete(neighbour);
  }

  /** Queues an update for all neighbours but its subject and its sender. */
  add(
    subject: InstanceId,
    heardFrom?: InstanceId,
    urgency: Urgency = 'at_once',
  ): void {
    for (const [neighbour, subjects] of this.pending) {
      if (neighbour === heardFrom || neighbour === subject) continue;
      const known = subjects.get(subject);
      subjects.delete(subject);
      subjects.set(subject, known === 'at_once' ? known : urgency);
    }
  }

  /** Queues updates for one neighbour. */
  addFor(neighbour: InstanceId, subjects: Iterable<InstanceId>): void {
    const pending = this.pending.get(neighbour);
    for (const subject of subjects) pending?.set(subject, 'at_once');
  }

  /** Whether an update waits that warrants a frame of its own. */
  hasUrgent(neighbour: InstanceId): boolean {
    const pending = this.pending.get(neighbour);
    if (pending === undefined) return false;
    return [...pending.values()].includes('at_once');
  }

  /** Takes at most `limit` subjects: urgent ones first, then newest first. */
  take(neighbour: InstanceId, limit: number): InstanceId[] {
    const pending = this.pending.get(neighbour);
    if (pending === undefined) return [];
    const newestFirst = [...pending].reverse();
    newestFirst.sort(
      ([, a], [, b]) => Number(b === 'at_once') - Number(a === 'at_once'),
    );
    const taken = newestFirst.slice(0, limit).map(([subject]) => subject);
    for (const subject of taken) pending.delete(subject);
    return taken;
  }

  /** The next `count` of all members, round-robin. */
  takeRoundRobin(all: readonly InstanceId[], count: number): InstanceId[] {
    const taken: InstanceId[] = [];
    for (let i = 0; i < Math.min(count, all.length); i += 1) {
      taken.push(all[this.cursor % all.length]);
      this.cursor += 1;
    }
    return taken;
  }
}
