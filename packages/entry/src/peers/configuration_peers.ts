/** Distributes the configuration over the peer network. */

import {answerPeer} from '@snipestage/agreement/revisions.js';
import type {
  ConfigurationDelta,
  ConfigurationSnapshot,
} from '@snipestage/agreement/snapshots.js';
import type {PeerNetwork} from '@snipestage/peer/peer_network.js';
import type {PeerRecord} from '@snipestage/peer/records.js';
import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import type {RevisionPeers, RevisionTask} from '../configure/revision_task.js';

/** Options of {@link ConfigurationPeers}. */
export interface ConfigurationPeersOptions {
  readonly network: PeerNetwork;
  readonly revisions: RevisionTask;
  readonly clock: MonotonicClock;
}

type Payload =
  | {readonly kind: 'delta'; readonly delta: ConfigurationDelta}
  | {readonly kind: 'snapshot'; readonly snapshot: ConfigurationSnapshot};

/** Broadcast every few seconds by one instance of each data centre. */
interface Confirmation {
  readonly revision: Revision;
  readonly ageMs: number;
}

const CONFIRMATION_NAME = 'configuration_confirmed';
const CONFIRM_EVERY_MS = 5000;

/**
 * Pushes new revisions, answers pulls, and pulls from peers that have newer
 * ones.
 */
export class ConfigurationPeers implements RevisionPeers {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ConfigurationPeersOptions) {
    const {network, revisions, clock} = options;
    revisions.connect(this);
    network.onRevisionSeen((revision, peer) => {
      revisions.handle({
        kind: 'peer_revision',
        peer,
        revision,
        confirmedAgeMs: undefined,
        nowMs: clock(),
      });
    });
  }

  /**
   * Broadcasts confirmations periodically. Most instances don't read the table,
   * but must still know how old their configuration is: otherwise client
   * accounts that mustn't be served from a stale configuration would be refused
   * everywhere except by the readers.
   */
  startConfirming(isPublisher: () => boolean): void {
    this.timer = setInterval(() => {
      if (isPublisher()) this.publishConfirmation();
    }, CONFIRM_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  push(delta: ConfigurationDelta): void {
    const {network} = this.options;
    network.broadcast(toRecord(delta.to, {kind: 'delta', delta}));
  }

  applied(revision: Revision): void {
    this.options.network.setRevision(revision);
  }

  ask(peer: InstanceId, from: Revision): void {
    const record = {kind: 'configuration_pull', aboveRevision: from} as const;
    this.options.network.send(peer, record);
  }

  /** Handles a peer's record if it concerns the configuration. */
  receive(record: PeerRecord, from: InstanceId): void {
    if (record.kind === 'configuration_pull') {
      this.answer(from, record.aboveRevision);
    }
    if (record.kind === 'configuration') this.apply(record.payload, from);
    if (record.kind === 'extension' && record.name === CONFIRMATION_NAME) {
      this.handleConfirmation(record.json, from);
    }
  }

  private publishConfirmation(): void {
    const {revisions, network, clock} = this.options;
    const {confirmedAtMs, snapshot} = revisions.current;
    if (confirmedAtMs === undefined) return;
    const ageMs = Math.round(clock() - confirmedAtMs);
    const confirmation: Confirmation = {revision: snapshot.revision, ageMs};
    const json = Buffer.from(JSON.stringify(confirmation));
    network.broadcast({kind: 'extension', name: CONFIRMATION_NAME, json});
  }

  private handleConfirmation(json: Buffer, peer: InstanceId): void {
    const confirmation = JSON.parse(json.toString('utf8')) as Confirmation;
    this.options.revisions.handle({
      kind: 'peer_revision',
      peer,
      revision: confirmation.revision,
      confirmedAgeMs: confirmation.ageMs,
      nowMs: this.options.clock(),
    });
  }

  private answer(peer: InstanceId, from: Revision): void {
    const {revisions, network} = this.options;
    const answer = answerPeer(revisions.current, from);
    if (answer === undefined) return;
    const record =
      'objects' in answer
        ? toRecord(answer.revision, {kind: 'snapshot', snapshot: answer})
        : toRecord(answer.to, {kind: 'delta', delta: answer});
    network.send(peer, record);
  }

  private apply(payload: Buffer, peer: InstanceId): void {
    const {revisions, clock} = this.options;
    const nowMs = clock();
    const parsed = JSON.parse(payload.toString('utf8')) as Payload;
    if (parsed.kind === 'delta') {
      const {delta} = parsed;
      revisions.handle({kind: 'peer_delta', peer, delta, nowMs});
    } else {
      const {snapshot} = parsed;
      revisions.handle({kind: 'peer_snapshot', snapshot, nowMs});
    }
  }
}

function toRecord(revision: Revision, payload: Payload): PeerRecord {
  const json = Buffer.from(JSON.stringify(payload));
  return {kind: 'configuration', revision, payload: json};
}
