/** Runs that once found something, to be played again. */

import type {SoakOptions} from './soak.js';

/** A run as it was, and what was wrong. */
export interface Regression {
  readonly options: Omit<SoakOptions, 'program'>;
  readonly check: string;
  readonly cause: string;
}

export const REGRESSIONS: readonly Regression[] = [
  {
    options: {seed: 4002, dataCentres: 3},
    check: 'proper_ends',
    cause:
      'An instance was told to stop 50 ms after its start, before it ran its first line, and ended by the signal. It had taken nothing; the check lets that pass.',
  },
  {
    options: {seed: 16, dataCentres: 3},
    check: 'proper_ends',
    cause:
      'Two soaks built the program into one file; processes that started a part of it ended at once. Each soak builds its own.',
  },
  {
    options: {seed: 103, instances: 8, dataCentres: 1},
    check: 'withdrawn_keys',
    cause:
      'After connections to the store had gone silent, each of the pool cost a timeout of its own. Those that rest are closed with the first.',
  },
];
