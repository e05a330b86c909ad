/** Spreads the configuration over the peer network. */

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

/** Told every few seconds by one instance of each data centre. */
interface Confirmation {
  readonly revision: Revision;
  readonly ageMs: number;
}

const CONFIRMATION = 'configuration_confirmed';
const CONFIRM_EVERY_MS = 5000;

/** Pushes what is new, answers who asks, asks who is newer. */
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
   * Most instances do not read the table. They must still know how old their
   * knowledge is, or accounts that are not to be served on old knowledge would
   * be turned away everywhere but at the readers.
   */
  startConfirming(isSpeaker: () => boolean): void {
    this.timer = setInterval(() => {
      if (isSpeaker()) this.confirm();
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

  /** Takes in a peer's record if it concerns the configuration. */
  receive(record: PeerRecord, from: InstanceId): void {
    if (record.kind === 'configuration_pull') {
      this.answer(from, record.aboveRevision);
    }
    if (record.kind === 'configuration') this.take(record.payload, from);
    if (record.kind === 'extension' && record.name === CONFIRMATION) {
      this.takeConfirmation(record.json, from);
    }
  }

  private confirm(): void {
    const {revisions, network, clock} = this.options;
    const {confirmedAtMs, snapshot} = revisions.current;
    if (confirmedAtMs === undefined) return;
    const ageMs = Math.round(clock() - confirmedAtMs);
    const told: Confirmation = {revision: snapshot.revision, ageMs};
    const json = Buffer.from(JSON.stringify(told));
    network.broadcast({kind: 'extension', name: CONFIRMATION, json});
  }

  private takeConfirmation(json: Buffer, peer: InstanceId): void {
    const told = JSON.parse(json.toString('utf8')) as Confirmation;
    this.options.revisions.handle({
      kind: 'peer_revision',
      peer,
      revision: told.revision,
      confirmedAgeMs: told.ageMs,
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

  private take(payload: Buffer, peer: InstanceId): void {
    const {revisions, clock} = this.options;
    const nowMs = clock();
    const told = JSON.parse(payload.toString('utf8')) as Payload;
    if (told.kind === 'delta') {
      const {delta} = told;
      revisions.handle({kind: 'peer_delta', peer, delta, nowMs});
    } else {
      const {snapshot} = told;
      revisions.handle({kind: 'peer_snapshot', snapshot, nowMs});
    }
  }
}

function toRecord(revision: Revision, payload: Payload): PeerRecord {
  const json = Buffer.from(JSON.stringify(payload));
  return {kind: 'configuration', revision, payload: json};
}
