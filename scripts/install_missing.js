/**
 * Installs the packages of the lock file when they are not installed yet, so
 * that the commands of the README work on a fresh clone.
 */
import {execFileSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';

const INSTALLED_LOCK = 'node_modules/.package-lock.json';

/** npm's hidden lock file lists what is installed; `npm ci` writes it last. */
function isComplete() {
  if (!existsSync(INSTALLED_LOCK)) return false;
  const installed = JSON.parse(readFileSync(INSTALLED_LOCK, 'utf8')).packages;
  const wanted = JSON.parse(readFileSync('package-lock.json', 'utf8')).packages;
  return Object.entries(wanted).every(
    ([path, entry]) =>
      path === '' ||
      entry.optional === true ||
      installed[path]?.version === entry.version,
  );
}

if (!isComplete()) {
  execFileSync('npm', ['ci', '--ignore-scripts'], {stdio: 'inherit'});
}
