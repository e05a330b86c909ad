/** Writes rows of several instances to the store in one transaction. */

import type {Platform} from '@snipestage/platform/platform.js';
import type {WriteRequest} from './relay_messages.js';

interface QueuedWrite {
  readonly row: WriteRequest;
  readonly isWanted: () => boolean;
  readonly done: (isWritten: boolean) => void;
}

/**
 * All instances write within a tick of their usage writer after a window's end.
 */
const BATCH_DELAY_MS = 300;
/** The store accepts this many rows in one transaction. */
const MAX_ROWS_PER_TRANSACTION = 90;

/**
 * Each instance writes its counts at the end of each window. With dozens of
 * instances, such writes made up a third of all calls to the store on a day
 * without disturbances.
 */
export class WriteBatcher {
  private queued: QueuedWrite[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly platform: Platform) {}

  /**
   * @param isWanted whether the sender still waits; one that doesn't may have
   *   written the row itself, and a newer one since.
   * @returns whether the row is known to be in the store; if false, it may be
   *   there or not.
   * @example
   * const isWritten = await batcher.add({key, value}, () => !call.cancelled);
   */
  add(row: WriteRequest, isWanted: () => boolean): Promise<boolean> {
    return new Promise(done => {
      this.queued.push({row, isWanted, done});
      this.timer ??= setTimeout(() => void this.flush(), BATCH_DELAY_MS);
    });
  }

  private async flush(): Promise<void> {
    this.timer = undefined;
    const wanted = this.queued.filter(({isWanted}) => isWanted());
    this.queued = [];
    for (
      let begin = 0;
      begin < wanted.length;
      begin += MAX_ROWS_PER_TRANSACTION
    ) {
      await this.write(wanted.slice(begin, begin + MAX_ROWS_PER_TRANSACTION));
    }
  }

  private async write(batch: readonly QueuedWrite[]): Promise<void> {
    const writes = batch.map(({row}) => row);
    const result = await this.platform.transact({checks: [], writes});
    for (const {done} of batch) done(result.kind === 'committed');
  }
}
