import {fileURLToPath} from 'node:url';
import test from 'ava';
import {Launcher} from '../launch/launcher.js';

const SCRIPT = fileURLToPath(new URL('./main.js', import.meta.url));

test('every sample call of the quickstart with --once succeeds, and it exits with 0', async t => {
  const launcher = new Launcher();
  t.teardown(() => launcher.close());
  const quickstart = launcher.launch({script: SCRIPT, args: ['--once']});
  const exit = await quickstart.exited;
  t.is(exit.code, 0, quickstart.stdout + quickstart.stderr);
  t.is(quickstart.stdout.match(/^ok: /gm)?.length, 5);
});

test('the quickstart stays up until it is interrupted', async t => {
  const launcher = new Launcher();
  t.teardown(() => launcher.close());
  const quickstart = launcher.launch({script: SCRIPT});
  await quickstart.outputMatching(/Ctrl-C ends it all/);
  t.true(quickstart.isRunning);
  t.is((await quickstart.interrupt()).code, 0);
});
