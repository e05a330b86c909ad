import test from 'ava';
import {
  answerBytes,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const MAX_REJECTIONS = 3;
const idOf = (request: string): string =>
  /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';

const rejectAll: Script = (socket, request) =>
  socket.end(
    answerBytes(idOf(request), {
      status: 503,
      headers: [`X-Brittle: ${MAX_REJECTIONS}`, 'X-Not-Run: 1'],
    }),
  );

test('load pattern: callers send more than a brittle endpoint has room for', async t => {
  // Guards against an endpoint that falls over because it has to reject what
  // was sent to it although it was full.
  const proxy = await TestProxy.start({}, [rejectAll]);
  t.teardown(() => proxy.close());
  proxy.state.instances = 1;
  for (let count = 0; count < 30; count += 1) {
    const answer = await proxy.call(`${count}`, {body: 'order'});
    t.is(answer.status, 503);
    t.true(Number(answer.headers['retry-after']) > 0);
  }
  t.true(proxy.received.length <= MAX_REJECTIONS, `${proxy.received.length}`);
});

test('an endpoint that is no longer brittle is tried as any other', async t => {
  // Guards against endpoints that stay idle after a brittle phase.
  let isBrittle = true;
  const proxy = await TestProxy.start({}, [
    (socket, request) => {
      if (isBrittle) rejectAll(socket, request);
      else socket.end(answerBytes(idOf(request)));
    },
  ]);
  t.teardown(() => proxy.close());
  proxy.state.instances = 1;
  t.is((await proxy.call('first')).status, 503);
  isBrittle = false;
  proxy.skippedMs = 3000;
  t.is((await proxy.call('second')).status, 200);
  for (let count = 0; count < 10; count += 1) {
    t.is((await proxy.call(`${count}`)).status, 200);
  }
});
