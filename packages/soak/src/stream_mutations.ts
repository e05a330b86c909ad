/** Seeded faults in where streams go on. */

import {VERSION_RELEASE} from './fault_plan.js';
import type {Mutant} from './mutant.js';

const BREAKS = [
  VERSION_RELEASE,
  'endpoint_kill',
  'endpoint_resetting',
  'instance_kill',
] as const;

export const STREAM_MUTANTS: readonly Mutant[] = [
  {
    name: 'goes_on_at_any_version',
    check: 'one_version',
    kinds: BREAKS,
    edits: [
      {
        module: 'routing/dist/stream_origin.js',
        from: 'endpoint.softwareVersion === softwareVersion);',
        to: 'true);',
      },
    ],
  },
  {
    name: 'ignores_what_callers_resume',
    check: 'one_version',
    kinds: BREAKS,
    edits: [
      {
        module: 'gateway/dist/request_handler.js',
        from: 'if (!isResumption)',
        to: 'if (true)',
      },
    ],
  },
  {
    name: 'guesses_unknown_versions',
    check: 'one_version',
    kinds: BREAKS,
    edits: [
      {
        module: 'gateway/dist/streams/streams.js',
        from: 'return others.length === 0 ? only : undefined;',
        to: 'return only;',
      },
      {
        module: 'gateway/dist/streams/streams.js',
        from: 'versions?.length !== 1',
        to: 'versions === undefined',
      },
      {
        module: 'gateway/dist/streams/streams.js',
        from: 'this.recorder.add(key, recorded);',
        to: '',
      },
    ],
  },
  {
    name: 'keeps_records_to_itself',
    check: 'streams_go_on',
    kinds: BREAKS,
    edits: [
      {
        module: 'gateway/dist/streams/streams.js',
        from: 'this.recorder.add(key, recorded);',
        to: '',
      },
    ],
  },
];
