/** Publishes where this instance forwards connections, and reads the others. */

import {isDeepStrictEqual} from 'node:util';
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
  /** Number of instances; undefined while not known. */
  readonly countInstances: () => number | undefined;
  /** Receives all others. */
  readonly onRead: (others: readonly Forwarder[]) => void;
  /**
   * Hundreds of instances may start together and publish within this time,
   * counted from their start (3,000 ms).
   */
  readonly publishWithinMs?: number;
}

const DEFAULT_PUBLISH_WITHIN_MS = 3000;
const RETRY_AFTER_MS = 2000;
/** Times of reads, as multiples of the time within which rows are written. */
const FIRST_READ_FACTOR = 2;
const READ_EVERY_FACTOR = 20;
/** With more instances the list is longer, and each reads it less often. */
const INSTANCES_AT_FULL_PACE = 30;

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

  /** Writes the own row again, which a store that was set back may have lost. */
  republish(): void {
    this.start();
  }

  /** Reads the list again, unless that was done a moment ago. */
  refresh(): void {
    if (this.options.nowMs() - this.readAtMs >= RETRY_AFTER_MS) {
      void this.read();
    }
  }

  /** Writes the own row, unless it is there already, as after a restart. */
  private async publish(): Promise<void> {
    if (!(await this.isPublished()) && !(await this.write())) {
      this.schedule(RETRY_AFTER_MS, () => this.publish());
      return;
    }
    // By then, all instances that started together have published theirs.
    const delayMs = FIRST_READ_FACTOR * this.publishWithinMs;
    this.schedule(delayMs, () => this.readRegularly());
  }

  private async isPublished(): Promise<boolean> {
    const {own, platform} = this.options;
    const result = await platform.readRows([forwarderKey(own.instance)]);
    const rows = result.kind === 'rows' ? result.rows : [];
    return rows.map(readForwarder).some(known => isDeepStrictEqual(known, own));
  }

  /** @returns whether the row is known to be in the store. */
  private async write(): Promise<boolean> {
    const {own, platform, logger} = this.options;
    const {instance, dataCentre, address} = own;
    const value: ForwarderValue = {dataCentre, address};
    const writes = [{key: forwarderKey(instance), value}];
    const result = await platform.transact({checks: [], writes});
    if (result.kind !== 'committed') return false;
    logger.info('forwarder_published', {address});
    return true;
  }

  private async readRegularly(): Promise<void> {
    const isRead = await this.read();
    const instances = this.options.countInstances() ?? 1;
    const pace = Math.max(1, instances / INSTANCES_AT_FULL_PACE);
    const delayMs = READ_EVERY_FACTOR * this.publishWithinMs * pace;
    this.schedule(isRead ? delayMs : RETRY_AFTER_MS, () =>
      this.readRegularly(),
    );
  }

  /** @returns false when the store could not be read. */
  private async read(): Promise<boolean> {
    this.readAtMs = this.options.nowMs();
    const result = await this.options.platform.scanRows(FORWARDERS_PREFIX);
    if (result.kind === 'unavailable') return false;
    const {own, onRead} = this.options;
    const forwarders = result.rows
      .map(readForwarder)
      .filter(each => each !== undefined);
    onRead(forwarders.filter(({instance}) => instance !== own.instance));
    return true;
  }

  private schedule(delayMs: number, act: () => Promise<void>): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => void act(), delayMs);
    this.timer.unref();
  }
}
