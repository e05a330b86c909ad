import test from 'ava';
import got from 'got';
import {makeEntrySettings} from './entry_settings_input.js';
import {Launcher} from './launcher.js';

const OPERATOR_KEY = 'sk-operator';

test('stand-ins and an entry process can be started, suspended, resumed and ended', async t => {
  const launcher = new Launcher();
  t.teardown(() => launcher.close());
  const platform = await launcher.launchStandIn('platform');
  const engines = await launcher.launchStandIn('engines', {count: '2'});
  t.is(engines.urls.length, 2);
  const settings = await makeEntrySettings({
    instance: 'akl-a-1',
    dataCentre: 'akl-a',
    platformUrl: platform.url,
    operatorKey: OPERATOR_KEY,
  });
  const entry = await launcher.launchEntry({settings});
  await launcher.waitUntilReady(entry);
  entry.process.freeze();
  const silent = got(`${entry.callersUrl}/healthz`, {
    timeout: {request: 100},
    retry: {limit: 0},
  });
  await t.throwsAsync(silent, {code: 'ETIMEDOUT'});
  entry.process.thaw();
  t.is((await got(`${entry.callersUrl}/healthz`)).statusCode, 200);
  t.is((await engines.process.terminate()).code, 0);
  t.is((await entry.process.kill()).signal, 'SIGKILL');
});

test('runCommand waits for the command to finish and returns its output', async t => {
  const launcher = new Launcher();
  t.teardown(() => launcher.close());
  const result = await launcher.runCommand(['keys', 'hash', '--generate']);
  t.is(result.code, 0);
  t.regex(result.stdout, /sha256:[0-9a-f]{64}/);
});
