import {existsSync, readFileSync} from 'node:fs';
import test from 'ava';
import {MUTANTS} from './mutations.js';

const ROOT = new URL('../../../', import.meta.url);

/**
 * Text of the compiled module that an edit changes; empty when there is none.
 */
function readModule(module: string): string {
  const places = [`packages/${module}`, module];
  const found = places
    .map(place => new URL(place, ROOT))
    .find(url => existsSync(url));
  return found === undefined ? '' : readFileSync(found, 'utf8');
}

test('the text that each mutant replaces is in the compiled program', t => {
  // Guards against mutants whose text to replace is gone since the code
  // changed.
  const stale = MUTANTS.flatMap(({name, edits}) =>
    edits
      .filter(({module, from}) => !readModule(module).includes(from))
      .map(({module}) => `${name} in ${module}`),
  );
  t.deepEqual(stale, []);
});
