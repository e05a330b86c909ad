/** Publishes where this instance forwards connections, and reads the others. */

import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {Forwarder} from '@snipestage/routing/forwarder_choice.js';
import {
  FORWARDERS_PREFIX,
  forwarderKey,
  readForwarder,
  type ForwarderValue,
} from './forwarder_rows.js';

/** Options of {@link ForwarderList}; default in the brackets. */
export interface ForwarderListOptions {
  readonly own: Forwarder;
  readonly platform: Platform;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Receives all others. */
  readonly onRead: (others: readonly Forwarder[]) => void;
  /**
   * Hundreds of instances may start together and publish within this time,
   * counted from their start (3,000 ms). The list is read again after it.
   */
  readonly publishWithinMs?: number;
}

const DEFAULT_PUBLISH_WITHIN_MS = 3000;
/** Pause after a failed call, and between reads while isolated. */
const RETRY_AFTER_MS = 2000;

/**
 * The list is kept: an instance may lose its links while the store is away. Rows
 * of instances that are gone stay in it, for their machines may come back.
 */
export class ForwarderList {
  private timer: NodeJS.Timeout | undefined;
  private readAtMs = Number.NEGATIVE_INFINITY;
  private readonly publishWithinMs: number;
  private isStopped = false;

  constructor(private readonly options: ForwarderListOptions) {
    this.publishWithinMs = options.publishWithinMs ?? DEFAULT_PUBLISH_WITHIN_MS;
  }

  start(): void {
    this.schedule(Math.random() * this.publishWithinMs, () => this.publish());
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Reads the list again, unless that was done a moment ago. */
  refresh(): void {
    if (this.options.nowMs() - this.readAtMs < RETRY_AFTER_MS) return;
    void this.read();
  }

  /** Writes the own row, unless it is there already, as after a restart. */
  private async publish(): Promise<void> {
    const rows = await this.read();
    const {own, platform, logger} = this.options;
    const {instance, dataCentre, address} = own;
    const known = rows?.find(each => each.instance === instance);
    if (known?.address === address && known.dataCentre === dataCentre) return;
    const value: ForwarderValue = {dataCentre, address};
    const writes = [{key: forwarderKey(instance), value}];
    const result = rows && (await platform.transact({checks: [], writes}));
    if (result?.kind !== 'committed') {
      this.schedule(RETRY_AFTER_MS, () => this.publish());
      return;
    }
    logger.info('forwarder_published', {address});
    // By then, all instances that started together have published theirs.
    this.schedule(2 * this.publishWithinMs, async () => {
      await this.read();
    });
  }

  /** @returns undefined when the store could not be read. */
  private async read(): Promise<readonly Forwarder[] | undefined> {
    this.readAtMs = this.options.nowMs();
    const result = await this.options.platform.scanRows(FORWARDERS_PREFIX);
    if (result.kind === 'unavailable') return undefined;
    const forwarders = result.rows
      .map(readForwarder)
      .filter(each => each !== undefined);
    const {own, onRead} = this.options;
    onRead(forwarders.filter(({instance}) => instance !== own.instance));
    return forwarders;
  }

  private schedule(delayMs: number, act: () => Promise<void>): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => void act(), delayMs);
    this.timer.unref();
  }
}
