import {existsSync, readFileSync} from 'node:fs';
import test from 'ava';
import {MUTANTS} from './mutations.js';

const ROOT = new URL('../../../', import.meta.url);

/** The compiled module that an edit changes. */
function readModule(module: string): string {
  const places = [`packages/${module}`, module];
  const found = places
    .map(place => new URL(place, ROOT))
    .find(url => existsSync(url));
  return found === undefined ? '' : readFileSync(found, 'utf8');
}

test('each mutant still changes the program', t => {
  // Guards against mutants that are never found since the code has moved on.
  const stale = MUTANTS.flatMap(({name, edits}) =>
    edits
      .filter(({module, from}) => !readModule(module).includes(from))
      .map(({module}) => `${name} in ${module}`),
  );
  t.deepEqual(stale, []);
});
