/**
 * Builds the program that the soak runs: the real one, bundled into one file.
 */

import {mkdirSync, readFileSync} from 'node:fs';
import {build, type Plugin} from 'esbuild';
import {LINK_PREAMBLE} from './link_preamble.js';

/** A seeded fault of the program, to test that a check finds it. */
export interface Mutation {
  readonly name: string;
  readonly edits: readonly Edit[];
}

/** A change of the text of one compiled module. */
export interface Edit {
  /** End of the path of the module. */
  readonly module: string;
  readonly from: string;
  readonly to: string;
}

const ENTRY = 'platform/dist/main.js';
const FOLDER = 'target/soak';
/** Environment variable with the path of the file of the clock offset, in ms. */
export const CLOCK_FILE_VARIABLE = 'SOAK_CLOCK_FILE';

const PARENT_CHECK_EVERY_MS = 1000;
/**
 * Code put before the program, which is otherwise unchanged. The time of day of
 * one process can't be set from outside, so a signal makes its clock jump, and
 * cuts its links. And an instance whose soak was killed would run for ever, so it exits as well.
 */
const PREAMBLE = `{
  ${LINK_PREAMBLE}
  const now = Date.now;
  let offsetMs = 0;
  Date.now = () => now() + offsetMs;
  process.on('SIGUSR2', () => {
    const file = process.env.${CLOCK_FILE_VARIABLE};
    offsetMs = Number(fs.readFileSync(file, 'utf8'));
    readLinks();
  });
  const parent = process.ppid;
  setInterval(() => {
    if (process.ppid !== parent) process.exit();
  }, ${PARENT_CHECK_EVERY_MS}).unref();
}`;

/**
 * Builds the program, with the edits of a mutation if there is one.
 *
 * @returns the path of the built program.
 * @throws Error when an edit's text is not in its module.
 * @example
 * const program = await buildProgram();
 */
export async function buildProgram(mutation?: Mutation): Promise<string> {
  mkdirSync(FOLDER, {recursive: true});
  // Concurrent runs each build their own file: a process started from a file
  // that is still being written runs a part of the program and ends without an
  // error.
  const outfile = `${FOLDER}/${mutation?.name ?? 'snipestage'}.${process.pid}.cjs`;
  await build({
    entryPoints: [ENTRY],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    logLevel: 'warning',
    banner: {js: PREAMBLE},
    plugins: mutation === undefined ? [] : [mutate(mutation)],
  });
  return outfile;
}

function mutate({name, edits}: Mutation): Plugin {
  const open = new Set(edits);
  return {
    name: 'mutate',
    setup(build) {
      build.onLoad({filter: /\.js$/}, ({path}) => {
        const own = edits.filter(({module}) => path.endsWith(module));
        if (own.length === 0) return undefined;
        let contents = readFileSync(path, 'utf8');
        for (const edit of own) {
          if (!contents.includes(edit.from)) continue;
          contents = contents.replace(edit.from, edit.to);
          open.delete(edit);
        }
        return {contents, loader: 'js'};
      });
      build.onEnd(() => {
        const [edit] = open;
        if (edit === undefined) return;
        throw new Error(`Mutation ${name}: nothing to edit in ${edit.module}.`);
      });
    },
  };
}
