import {once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {ConnectionLimit} from './connection_limit.js';
import {waitUntil} from './test_support/test_gateway.js';

async function start(t: ExecutionContext, maxConnections: number) {
  const busy = new Set<Socket>();
  const accepted: Socket[] = [];
  let closed = 0;
  const limit = new ConnectionLimit({
    maxConnections,
    isIdle: socket => !busy.has(socket),
    onClosed: () => (closed += 1),
  });
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    accepted.push(socket);
  });
  limit.watch(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    for (const socket of accepted) socket.destroy();
    server.close();
  });
  const open = async (): Promise<Socket> => {
    const before = accepted.length;
    const socket = net.connect((server.address() as AddressInfo).port);
    t.teardown(() => socket.destroy());
    await waitUntil(() => accepted.length > before);
    return accepted[before];
  };
  return {limit, busy, open, countClosed: () => closed};
}

test('the idle connection that was quiet for longest makes room', async t => {
  // Guards against clients that open connections and keep all others out.
  const {limit, busy, open, countClosed} = await start(t, 3);
  const [first, second, third] = [await open(), await open(), await open()];
  busy.add(first);
  limit.noteActive(second);
  const fourth = await open();
  t.deepEqual(
    [first, second, third, fourth].map(({destroyed}) => destroyed),
    [false, false, true, false],
  );
  t.is(countClosed(), 1);
});

test('a new connection is closed when no other is idle', async t => {
  // Guards against requests in progress that are cut off for a newcomer.
  const {busy, open} = await start(t, 1);
  const first = await open();
  busy.add(first);
  const second = await open();
  t.deepEqual([first.destroyed, second.destroyed], [false, true]);
  first.destroy();
  await once(first, 'close');
  t.false((await open()).destroyed);
});
