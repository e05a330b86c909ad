import test from 'ava';
import {
  answerBytes,
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const LEAVING = 'X-Leaving: 1';

const answerWhole: Script = (socket, request) => {
  socket.end(answerBytes(idOf(request)));
};

const answerLeaving: Script = (socket, request) => {
  socket.end(answerBytes(idOf(request), {headers: [LEAVING]}));
};

function idOf(request: string): string {
  return /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
}

function countAt(proxy: TestProxy, endpoint: string): number {
  return proxy.received.filter(each => each.endpoint === endpoint).length;
}

test('an endpoint gets nothing more once an answer has announced its leaving', async t => {
  // Guards against requests to an endpoint that is about to stop, while the
  // list of endpoints doesn't say so yet.
  const answerLater: Script = (socket, request) => {
    setTimeout(() => answerWhole(socket, request), 30);
  };
  const proxy = await TestProxy.start({}, [answerLeaving, answerLater]);
  t.teardown(() => proxy.close());
  while (countAt(proxy, 'endpoint-0') === 0) {
    await proxy.call(`before-${proxy.received.length}`, {body: 'order'});
  }
  for (let count = 0; count < 20; count += 1) {
    const answer = await proxy.call(`after-${count}`, {body: 'order'});
    t.is(answer.status, 200);
  }
  t.is(countAt(proxy, 'endpoint-0'), 1);
});

test('neither retries nor resumed streams go to an endpoint that announced its leaving', async t => {
  // Guards against a stream that breaks off twice: resumed at an endpoint that
  // is about to stop.
  const breakOff: Script = (socket, request) => {
    socket.write(streamHead(idOf(request)));
    socket.write(chunk('id: 1\ndata: a\n\n'), () => socket.resetAndDestroy());
  };
  const route = {kind: 'stream', isResumable: true, maxAttempts: 2} as const;
  const proxy = await TestProxy.start(route, [breakOff, answerLeaving]);
  t.teardown(() => proxy.close());
  while (countAt(proxy, 'endpoint-1') === 0) {
    await proxy.call(`before-${proxy.received.length}`);
  }
  const leavingBefore = countAt(proxy, 'endpoint-1');
  for (let count = 0; count < 10; count += 1) {
    await proxy.call(`after-${count}`);
  }
  t.is(countAt(proxy, 'endpoint-1'), leavingBefore);
});

test('with every endpoint leaving callers are refused at once', async t => {
  // Guards against requests that are held, or sent to endpoints about to stop.
  const proxy = await TestProxy.start({}, [answerLeaving]);
  t.teardown(() => proxy.close());
  t.is((await proxy.call('one', {body: 'order'})).status, 200);
  const refused = await proxy.call('two', {body: 'order'});
  t.is(refused.status, 503);
  t.true(Number(refused.headers['retry-after']) > 0);
  t.is(proxy.received.length, 1);
});

test('a list of endpoints that is out of date does not take an announced leaving back', async t => {
  // Guards against requests to an endpoint that is about to stop, after its row
  // was read again or came back once the store had lost it.
  const proxy = await TestProxy.start({}, [answerLeaving]);
  t.teardown(() => proxy.close());
  const {directory} = proxy.state;
  await proxy.call('one', {body: 'order'});
  const [endpoint] = directory.readAll();
  const listed = {...endpoint, isLeaving: false};
  directory.apply([{kind: 'listed', endpoint: listed}], 1);
  t.is((await proxy.call('two', {body: 'order'})).status, 503);
  directory.apply([{kind: 'removed', id: endpoint.id}], 2);
  proxy.state.evictStale(performance.now());
  directory.replace([listed], 3);
  t.is((await proxy.call('three', {body: 'order'})).status, 503);
});

test('an endpoint that started again under its id gets requests again', async t => {
  // Guards against an endpoint that stays without requests after its restart.
  const proxy = await TestProxy.start({}, [answerLeaving]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  const {directory} = proxy.state;
  const [endpoint] = directory.readAll();
  const started = {...endpoint, isLeaving: false, bornEpochMs: 2};
  directory.apply([{kind: 'listed', endpoint: started}], 1);
  t.is((await proxy.call('two', {body: 'order'})).status, 200);
});

test('the announcement of another endpoint at the address counts for nobody', async t => {
  // Guards against endpoints shut out since an address was used again.
  const misdirect: Script = (socket, request) => {
    const options = {status: 421, headers: [LEAVING]};
    socket.end(answerBytes(idOf(request), options));
  };
  const proxy = await TestProxy.start({}, [misdirect]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  t.false(proxy.state.directory.readAll()[0].isLeaving);
  // Longer than the endpoint counts as gone; it would count as leaving for good.
  proxy.skippedMs = 10_000;
  await proxy.call('two', {body: 'order'});
  t.is(proxy.received.length, 2);
});
