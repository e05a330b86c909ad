/**
 * Distributes each accepted configuration to all instances. The one that
 * accepted it pushes it to its neighbours; the others see in any frame that the
 * sender has a higher revision in force, and pull it. An instance that can't
 * reach the platform is brought up to date in the same way.
 */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {PeerNetwork} from './peer_network.js';
import {PullPlan} from './pull_plan.js';

const DEFAULT_PULL_TIMEOUT_MS = 1000;
const CHECKS_PER_TIMEOUT = 2;

/** Options of {@link ConfigurationSpread}. */
export interface ConfigurationSpreadOptions {
  readonly network: PeerNetwork;
  /** The payload of the configuration in force if it has this revision. */
  readonly getPayload: (revision: Revision) => Buffer | undefined;
  /**
   * Puts a configuration in force. Resolves with false when this release can't
   * read the payload as a configuration; another peer is then pulled from.
   */
  readonly applyPayload: (
    revision: Revision,
    payload: Buffer,
  ) => Promise<boolean> | boolean;
  readonly inForce?: Revision;
  readonly pullTimeoutMs?: number;
  readonly readMonotonicMs?: () => number;
}

/**
 * @example
 * const spread = new ConfigurationSpread({network, getPayload, applyPayload});
 * spread.push(revision); // accepted here
 * spread.noteInForce(revision); // read from the platform
 */
export class ConfigurationSpread {
  private readonly plan: PullPlan;
  private readonly pullTimeoutMs: number;
  private readonly readMonotonicMs: () => number;
  /** Serializes applying, so that no older one is applied over a newer one. */
  private applying: Promise<void> = Promise.resolve();
  private timer?: NodeJS.Timeout;
  private isStopped = false;

  constructor(private readonly options: ConfigurationSpreadOptions) {
    const {network, inForce = 0 as Revision} = options;
    this.pullTimeoutMs = options.pullTimeoutMs ?? DEFAULT_PULL_TIMEOUT_MS;
    this.readMonotonicMs = options.readMonotonicMs ?? (() => performance.now());
    this.plan = new PullPlan(inForce, this.pullTimeoutMs);
    network.setRevision(inForce);
    network.onRevisionSeen((revision, from) => {
      if (!this.plan.isWanted(revision)) return;
      this.plan.noteSeen(revision, from, this.readMonotonicMs());
      this.pull();
    });
    network.onRecords((record, from) => {
      if (record.kind === 'configuration') {
        this.receive(record.revision, record.payload, from.id);
      } else if (record.kind === 'configuration_pull') {
        this.answer(from.id, record.aboveRevision);
      }
    });
  }

  /** The revision in force here. */
  get inForce(): Revision {
    return this.plan.inForce;
  }

  /**
   * Records a revision put in force here from the platform; peers see it and
   * pull.
   */
  noteInForce(revision: Revision): void {
    this.plan.noteApplied(revision);
    this.options.network.setRevision(this.plan.inForce);
  }

  /** Sends a revision accepted and in force here to the neighbours at once. */
  push(revision: Revision): void {
    this.noteInForce(revision);
    const payload = this.options.getPayload(revision);
    if (payload === undefined) return;
    const record = {kind: 'configuration', revision, payload} as const;
    this.options.network.sendToNeighbours(record);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private answer(from: InstanceId, aboveRevision: Revision): void {
    const revision = this.plan.inForce;
    if (revision <= aboveRevision) return;
    const payload = this.options.getPayload(revision);
    if (payload === undefined) return;
    this.options.network.send(from, {kind: 'configuration', revision, payload});
  }

  private receive(revision: Revision, payload: Buffer, from: InstanceId): void {
    this.applying = this.applying.then(async () => {
      if (!this.plan.isWanted(revision) || this.isStopped) return;
      const isApplied = await this.apply(revision, payload);
      if (isApplied) this.noteInForce(revision);
      else this.plan.noteRejected(from, this.readMonotonicMs());
      this.pull();
    });
  }

  private async apply(revision: Revision, payload: Buffer): Promise<boolean> {
    try {
      return await this.options.applyPayload(revision, payload);
    } catch {
      return false;
    }
  }

  private pull(): void {
    clearTimeout(this.timer);
    if (this.isStopped) return;
    const step = this.plan.next(this.readMonotonicMs());
    if (step !== undefined) {
      const {from, aboveRevision} = step;
      const record = {kind: 'configuration_pull', aboveRevision} as const;
      const isSent = this.options.network.send(from, record);
      if (!isSent) this.plan.noteFailed(from);
    }
    if (!this.plan.isBehind) return;
    const checkMs = this.pullTimeoutMs / CHECKS_PER_TIMEOUT;
    this.timer = setTimeout(() => this.pull(), checkMs);
  }
}
