import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  answerBytes,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const ENDPOINT = brandAs<EndpointId>('endpoint-0');
const LIMIT = 'X-Limit: 0';
const LEAVING = 'X-Leaving: 1';
const REST = 'X-Rest-Ms: 60000';

function idOf(request: string): string {
  return /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
}

const answerWith = (status: number, ...headers: string[]): Script => {
  return (socket, request) =>
    socket.end(answerBytes(idOf(request), {status, headers}));
};

test('what another endpoint at the address announces counts for nobody', async t => {
  // Guards against endpoints that get too few requests since another one has
  // used their address.
  const misdirect = answerWith(421, LIMIT, LEAVING, REST);
  const proxy = await TestProxy.start({}, [misdirect]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  t.is(proxy.state.rateLimits.find(ENDPOINT), undefined);
  await proxy.call('two', {body: 'order'});
  t.is(proxy.received.length, 2);
});

test('what the answer to another request announces counts for nobody', async t => {
  // Guards against endpoints bound by an answer that wasn't theirs.
  const answerOther: Script = socket =>
    socket.end(answerBytes('other', {headers: [LIMIT, LEAVING]}));
  const proxy = await TestProxy.start({}, [answerOther]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  t.is(proxy.state.rateLimits.find(ENDPOINT), undefined);
  t.false(proxy.state.directory.find(ENDPOINT)?.isLeaving);
});

test('a late answer of the start before does not bind the new one', async t => {
  // Guards against a new start that is taken for leaving, limited or resting.
  let answer: (() => void) | undefined;
  const answerLate: Script = (socket, request) => {
    answer = () => answerWith(200, LIMIT, LEAVING)(socket, request);
  };
  const proxy = await TestProxy.start({}, [answerLate]);
  t.teardown(() => proxy.close());
  const pending = proxy.call('one', {body: 'order'});
  while (answer === undefined) await new Promise(done => setTimeout(done, 5));
  const {directory, rateLimits} = proxy.state;
  const [endpoint] = directory.readAll();
  directory.replace([{...endpoint, bornEpochMs: 2}], 1);
  answer();
  await pending;
  t.is(rateLimits.find(ENDPOINT), undefined);
  t.false(directory.find(ENDPOINT)?.isLeaving);
});
