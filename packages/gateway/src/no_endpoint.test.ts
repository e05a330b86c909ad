import {
  brandAs,
  type DataCentreId,
  type EndpointId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {answerBytes, TestDoor, type Script} from './test_support/test_door.js';

const DATA_CENTRE = brandAs<DataCentreId>('akl-a');
const ENDPOINT = brandAs<EndpointId>('endpoint-0');

const answerWhole: Script = (socket, request) => {
  const id = /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
  socket.end(answerBytes(id));
};

test('with every data centre evacuated callers are refused at once', async t => {
  // Guards against a request that is held, or sent where nothing may be sent.
  const door = await TestDoor.start({}, [answerWhole]);
  t.teardown(() => door.close());
  door.state.directory.setEvacuated(new Set([DATA_CENTRE]));
  const refused = await door.call('one', {body: 'order'});
  t.is(refused.status, 503);
  t.true(Number(refused.headers['retry-after']) > 0);
  t.is(door.received.length, 0);
  door.state.directory.setEvacuated(new Set());
  t.is((await door.call('two', {body: 'order'})).status, 200);
});

test('with every endpoint cold Retry-After lasts until one is warm', async t => {
  // Guards against refused callers that come back before anything has changed.
  const door = await TestDoor.start({}, [answerWhole]);
  t.teardown(() => door.close());
  door.state.warmup.noteWarmup(ENDPOINT, 3000, performance.now());
  const refused = await door.call('one', {body: 'order'});
  t.is(refused.status, 503);
  const retryAfterS = Number(refused.headers['retry-after']);
  t.true(retryAfterS > 2 && retryAfterS <= 3, String(retryAfterS));
  t.is(door.received.length, 0);
  door.state.warmup.noteWarmup(ENDPOINT, 0, performance.now());
  t.is((await door.call('two', {body: 'order'})).status, 200);
});
