import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {OpenAnswers} from './open_answers.js';

/** A server that keeps its answers for the test to end, and one caller. */
async function start(t: ExecutionContext) {
  const responses: ServerResponse[] = [];
  const server = createServer((request, response) => responses.push(response));
  const answers = new OpenAnswers(server);
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
  return {answers, responses, caller, requests};
}

for (const when of ['before', 'during']) {
  test(`requests sent one behind the other ${when} a stop all get answers`, async t => {
    // A caller sends the next request without waiting for the answer before. If
    // the first answer closed the connection, the second request would run for a
    // caller that never hears of it.
    const {answers, responses, caller, requests} = await start(t);
    if (when === 'during') answers.closeWithAnswers();
    await requests(1);
    await requests(1);
    if (when === 'before') answers.closeWithAnswers();
    let received = '';
    caller.on('data', data => (received += data.toString()));
    responses[0].end('first');
    responses[1].end('second');
    await once(caller, 'close');
    t.regex(received, /first.*second/s);
    await answers.whenNone();
  });
}

test('a caller that leaves with requests one behind the other is over', async t => {
  // An answer that waits behind another one never closes if its connection goes.
  // Were it waited for, every later stop would take all of its grace time.
  const {answers, responses, caller, requests} = await start(t);
  await requests(2);
  caller.destroy();
  await answers.whenNone();
  t.is(responses.length, 2);
});
