import {
  brandAs,
  type DataCentreId,
  type EndpointId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  answerBytes,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const DATA_CENTRE = brandAs<DataCentreId>('akl-a');
const ENDPOINT = brandAs<EndpointId>('endpoint-0');

const answerWhole: Script = (socket, request) => {
  const id = /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
  socket.end(answerBytes(id));
};

test('with every data centre evacuated callers are refused at once', async t => {
  // Requests must neither be held nor sent to an evacuated data centre.
  const proxy = await TestProxy.start({}, [answerWhole]);
  t.teardown(() => proxy.close());
  proxy.state.directory.setEvacuated(new Set([DATA_CENTRE]));
  const refused = await proxy.call('one', {body: 'order'});
  t.is(refused.status, 503);
  t.true(Number(refused.headers['retry-after']) > 0);
  t.is(proxy.received.length, 0);
  proxy.state.directory.setEvacuated(new Set());
  t.is((await proxy.call('two', {body: 'order'})).status, 200);
});

test('with every endpoint cold, Retry-After lasts until one is warm', async t => {
  // Refused callers must not come back before anything has changed.
  const proxy = await TestProxy.start({}, [answerWhole]);
  t.teardown(() => proxy.close());
  proxy.state.warmup.noteWarmup(ENDPOINT, 3000, performance.now());
  const refused = await proxy.call('one', {body: 'order'});
  t.is(refused.status, 503);
  const retryAfterS = Number(refused.headers['retry-after']);
  t.true(retryAfterS > 2 && retryAfterS <= 3, String(retryAfterS));
  t.is(proxy.received.length, 0);
  proxy.state.warmup.noteWarmup(ENDPOINT, 0, performance.now());
  t.is((await proxy.call('two', {body: 'order'})).status, 200);
});
