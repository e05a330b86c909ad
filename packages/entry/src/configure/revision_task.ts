/** Follows the configuration's revisions and puts them in force. */

import {
  beginRevisions,
  transitionRevisions,
  type RevisionEffect,
  type RevisionEvent,
  type RevisionState,
} from '@snipestage/agreement/revisions.js';
import {
  buildConfiguration,
  type ConfigurationDelta,
} from '@snipestage/agreement/snapshots.js';
import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {ConfigurationStore} from './configuration_store.js';
import type {TableExecutor} from './table_executor.js';

/** Exchange of revisions with peers. */
export interface RevisionPeers {
  /** Sends peers a delta that this instance has read from the table. */
  push(delta: ConfigurationDelta): void;
  /** Called with each revision that has come into force here. */
  applied(revision: Revision): void;
  /** Requests the changes after a revision from one peer. */
  ask(peer: InstanceId, from: Revision): void;
}

/** Options of {@link RevisionTask}. */
export interface RevisionTaskOptions {
  readonly store: ConfigurationStore;
  readonly executor: TableExecutor;
  readonly clock: () => number;
  readonly pollMs?: number;
  /** Whether this instance is one of those that poll the table. */
  readonly shouldPoll?: () => boolean;
}

const DEFAULT_POLL_MS = 1000;

/** Owns the revision state; events reach it from the table and from peers. */
export class RevisionTask {
  private state: RevisionState = beginRevisions();
  private timer: NodeJS.Timeout | undefined;
  private peers: RevisionPeers | undefined;

  constructor(private readonly options: RevisionTaskOptions) {}

  get current(): RevisionState {
    return this.state;
  }

  /** Whether a configuration has been received yet. */
  get isLoaded(): boolean {
    return this.state.loaded;
  }

  connect(peers: RevisionPeers): void {
    this.peers = peers;
  }

  start(): void {
    const pollMs = this.options.pollMs ?? DEFAULT_POLL_MS;
    const shouldPoll = this.options.shouldPoll ?? (() => true);
    this.poll();
    this.timer = setInterval(() => {
      if (shouldPoll() || !this.isLoaded) this.poll();
    }, pollMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Reads the head row now, for example after a ticket was accepted here. */
  poll(): void {
    this.handle({kind: 'poll', nowMs: this.options.clock()});
  }

  handle(event: RevisionEvent): void {
    const step = transitionRevisions(this.state, event);
    this.state = step.state;
    // Deltas from peers aren't pushed: they are on their way to all peers
    // already.
    const isFromTable = event.kind === 'read_answered';
    for (const effect of step.effects) void this.carryOut(effect, isFromTable);
    if (this.state.confirmedAtMs !== undefined) {
      this.options.store.confirm(this.state.confirmedAtMs);
    }
  }

  private async carryOut(
    effect: RevisionEffect,
    isFromTable: boolean,
  ): Promise<void> {
    switch (effect.kind) {
      case 'apply':
        this.options.store.apply(buildConfiguration(effect.snapshot));
        this.peers?.applied(effect.snapshot.revision);
        if (isFromTable) this.peers?.push(effect.delta);
        return;
      case 'ask_peer':
        this.peers?.ask(effect.peer, effect.from);
        return;
      default:
        this.handle(await this.options.executor.carryOut(effect));
    }
  }
}
