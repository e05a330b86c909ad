/** Seeded faults of the way in which the program stops and reloads. */

import type {Mutant} from './mutant.js';

const STOPS = ['instance_terminate'] as const;
/**
 * A stopping instance refuses requests that it can't finish, even while it
 * still listens. This edit removes the refusal.
 */
const TAKES_EVERYTHING = {
  module: 'routing/dist/shutdown.js',
  from: 'endsAtMs <= graceEndsAtMs',
  to: 'true',
} as const;

/** A soak with stops or reloads must find each of them. */
export const STOP_MUTANTS: readonly Mutant[] = [
  {
    name: 'stops_at_once',
    check: 'nothing_lost',
    kinds: STOPS,
    edits: [
      {
        module: 'gateway/dist/gateway.js',
        from: 'await this.drain();',
        to: '',
      },
    ],
  },
  {
    name: 'listens_to_the_end',
    check: 'nothing_lost',
    // Connections opened before the stop show another fault than listening.
    findingPattern: /connected [3-9]\d{3} ms after/,
    kinds: STOPS,
    edits: [
      {
        module: 'gateway/dist/callers_server.js',
        from: 'if (this.server.listening)',
        to: 'if (false)',
      },
      TAKES_EVERYTHING,
    ],
  },
  {
    name: 'takes_what_it_cannot_finish',
    check: 'nothing_lost',
    kinds: STOPS,
    edits: [TAKES_EVERYTHING],
  },
  {
    name: 'ends_with_an_error',
    check: 'proper_ends',
    kinds: STOPS,
    edits: [
      {
        module: 'platform/dist/main.js',
        from: 'process.exit(0)',
        to: 'process.exit(3)',
      },
    ],
  },
  {
    name: 'never_listens_again',
    check: 'serves_again',
    kinds: ['instance_reload'],
    edits: [
      {
        module: 'platform/dist/main.js',
        from: "process.on('SIGHUP', () => reload(gateway, path));",
        to: "process.on('SIGHUP', () => { gateway.callers.stopListening(); gateway.callers.closeAll(); });",
      },
    ],
  },
];
