/** Writes rows of several instances to the store in one transaction. */

import type {Platform} from '@snipestage/platform/platform.js';
import type {WriteRequest} from './relay_messages.js';

interface Gathered {
  readonly row: WriteRequest;
  readonly isWanted: () => boolean;
  readonly done: (isWritten: boolean) => void;
}

/** Instances write when a window has ended: all within a tick of theirs. */
const GATHER_MS = 300;
/** The store takes so many rows in one transaction. */
const MOST_ROWS = 90;

/**
 * Each instance writes its counts at the end of each window. With dozens of them
 * these were a third of all calls to the store on a calm day.
 */
export class WriteGatherer {
  private gathered: Gathered[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly platform: Platform) {}

  /**
   * @param isWanted whether its sender still waits; it may have written the row
   *   by itself, and a newer one since.
   * @returns whether the store has it; false: it may have it, or not.
   * @example
   * const isWritten = await gatherer.add({key, value}, () => !call.cancelled);
   */
  add(row: WriteRequest, isWanted: () => boolean): Promise<boolean> {
    return new Promise(done => {
      this.gathered.push({row, isWanted, done});
      this.timer ??= setTimeout(() => void this.flush(), GATHER_MS);
    });
  }

  private async flush(): Promise<void> {
    this.timer = undefined;
    const wanted = this.gathered.filter(({isWanted}) => isWanted());
    this.gathered = [];
    for (let begin = 0; begin < wanted.length; begin += MOST_ROWS) {
      await this.write(wanted.slice(begin, begin + MOST_ROWS));
    }
  }

  private async write(batch: readonly Gathered[]): Promise<void> {
    const writes = batch.map(({row}) => row);
    const result = await this.platform.transact({checks: [], writes});
    for (const {done} of batch) done(result.kind === 'committed');
  }
}
