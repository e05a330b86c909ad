/** Timer for a request that waits for its answer to begin. */

import {ReadFirstTimeout} from '@snipestage/connection/read_first_timeout.js';

/** Options of {@link OverdueWatch}. */
export interface OverdueWatchOptions {
  readonly limitMs: number;
  /**
   * Whether this process may not have read yet what has arrived, as it stood
   * still.
   */
  readonly isBehind: () => boolean;
  readonly onOverdue: () => void;
}

/** Calls back once if the answer hasn't begun within the limit. */
export class OverdueWatch {
  private timeout: ReadFirstTimeout | undefined;

  constructor(private readonly options: OverdueWatchOptions) {}

  start(): void {
    const {limitMs, isBehind, onOverdue} = this.options;
    this.timeout = new ReadFirstTimeout(() => {
      if (!isBehind()) onOverdue();
    }, limitMs);
  }

  stop(): void {
    this.timeout?.cancel();
  }
}
