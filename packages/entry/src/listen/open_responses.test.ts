import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {OpenResponses} from './open_responses.js';

/** A server whose responses the test ends, and one caller's connection. */
async function start(t: ExecutionContext) {
  const responses: ServerResponse[] = [];
  const server = createServer((request, response) => responses.push(response));
  const openResponses = new OpenResponses(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const caller = net.connect(port, '127.0.0.1');
  t.teardown(() => {
    caller.destroy();
    server.close();
    server.closeAllConnections();
  });
  const requests = async (count: number) => {
    const wanted = responses.length + count;
    caller.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(count));
    while (responses.length < wanted) {
      await new Promise(done => setImmediate(done));
    }
  };
  return {openResponses, responses, caller, requests};
}

for (const when of ['before', 'during']) {
  test(`pipelined requests sent ${when} a stop all get responses`, async t => {
    // A caller sends a second request without waiting for the first response.
    // If the first response closed the connection, the second request would run
    // without its caller getting a response.
    const {openResponses, responses, caller, requests} = await start(t);
    if (when === 'during') openResponses.closeAfterResponses();
    await requests(1);
    await requests(1);
    if (when === 'before') openResponses.closeAfterResponses();
    let received = '';
    caller.on('data', data => (received += data.toString()));
    responses[0].end('first');
    responses[1].end('second');
    await once(caller, 'close');
    t.regex(received, /first.*second/s);
    await openResponses.whenAllSent();
  });
}

test('a caller that disconnects with pipelined requests is not waited for', async t => {
  // A response that waits behind another one emits no `close` if its connection
  // closes. If it stayed tracked, a later stop would take all of its grace
  // time.
  const {openResponses, responses, caller, requests} = await start(t);
  await requests(2);
  caller.destroy();
  await openResponses.whenAllSent();
  t.is(responses.length, 2);
});
