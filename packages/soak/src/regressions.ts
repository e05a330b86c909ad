/** Runs that found errors in the past, to be repeated. */

import type {SoakOptions} from './soak.js';

/** The options of a run, the check that found an error and its cause. */
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
      'An instance was told to stop 50 ms after its start, before it ran its first line, and was ended by the signal. It had accepted no requests; the check allows that.',
  },
  {
    options: {seed: 16, dataCentres: 3},
    check: 'proper_ends',
    cause:
      'Two soaks built the program into one file; processes started from a partly written file ended at once. Each soak builds its own file.',
  },
  {
    options: {seed: 103, instances: 8, dataCentres: 1},
    check: 'withdrawn_keys',
    cause:
      'After connections to the store had gone silent, each connection of the pool cost a timeout of its own. Idle connections are closed when the first times out.',
  },
  {
    options: {seed: 9112},
    check: 'leaving_endpoints',
    cause:
      'A poll over a connection that had gone silent, with the pause before it, lasted longer than the contact bound. Polls are shorter now.',
  },
  {
    options: {seed: 9138},
    check: 'withdrawn_keys',
    cause: 'The same.',
  },
];
