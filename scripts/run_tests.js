/**
 * Runs the tests and prints `N passed, N failed` as its last line. Failures of
 * tests listed in KNOWN-RED.txt are printed but tolerated; any other failure
 * fails the run.
 */
import {spawn} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const ALONE_CONFIG = 'ava.alone.config.js';
const TEST_LINE = /^(not )?ok \d+ - (.*)$/;
const SKIPPED_MARK = /# (SKIP|TODO)/;

/** Each line reads `test title | command and seed | what was seen | ...`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter(line => line.trim() !== '' && !line.startsWith('#'))
    .map(line => line.split('|')[0].trim());
}

function runAva(args) {
  const child = spawn('node_modules/.bin/ava', ['--tap', ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let output = '';
  child.stdout.on('data', chunk => {
    output += chunk;
    process.stdout.write(chunk);
  });
  return new Promise(resolve => {
    child.on('close', code => resolve({code, output}));
  });
}

/**
 * Tests that measure a process run after all others, by themselves.
 *
 * @returns the exit code and the output of each run.
 */
async function runAll(args) {
  if (args.length > 0) return [await runAva(args)];
  const shared = await runAva([]);
  return [shared, await runAva(['--config', ALONE_CONFIG])];
}

const runs = await runAll(process.argv.slice(2));
const knownRed = readKnownRed();
let passed = 0;
let died = 0;
const failures = [];
for (const {code, output} of runs) {
  let failedInRun = 0;
  for (const line of output.split('\n')) {
    const match = TEST_LINE.exec(line);
    if (match === null || SKIPPED_MARK.test(line)) continue;
    if (match[1] === undefined) passed += 1;
    else {
      failures.push(match[2]);
      failedInRun += 1;
    }
  }
  // Otherwise a run that ends before its tests would count as having no failures.
  if (code !== 0 && failedInRun === 0) died += 1;
}
const expected = failures.filter(title => knownRed.includes(title));
const unexpected = failures.filter(title => !knownRed.includes(title));
for (const title of expected) console.log(`known red: ${title}`);
for (const title of unexpected) console.log(`failed: ${title}`);
const failed = unexpected.length + died;
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
