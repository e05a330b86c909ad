import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import type {Route} from '@snipestage/routing/route.js';
import {TestProxy, type Script} from './test_support/test_proxy.js';

const ROUTES: readonly Partial<Route>[] = [
  {kind: 'stream'},
  {kind: 'idempotent'},
  {kind: 'non_idempotent'},
];
const BODY = 'id: 1\ndata: a\n\n';
const FRAMINGS: Readonly<Record<string, readonly string[]>> = {
  'a length': [`Content-Length: ${BODY.length}`],
  chunks: ['Transfer-Encoding: chunked'],
  neither: [],
};
/** Ends of a connection, with which a crashed endpoint may leave its answer. */
const ENDS: Readonly<Record<string, (socket: Socket, part: string) => void>> = {
  closed: (socket, part) => socket.end(part),
  reset: (socket, part) =>
    socket.write(part, () => setTimeout(() => socket.resetAndDestroy(), 5)),
};

const idOf = (request: string): string =>
  /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';

function headOf(id: string, framing: readonly string[]): string {
  const lines = ['HTTP/1.1 200 OK', `X-Request-Id: ${id}`, 'X-Signature: p'];
  return [...lines, ...framing, '', ''].join('\r\n');
}

/** Sends as much of a head as the number in the request's id says. */
const cutHead =
  (framing: readonly string[], end: keyof typeof ENDS): Script =>
  (socket, request) => {
    const id = idOf(request);
    ENDS[end](socket, headOf(id, framing).slice(0, Number(id.split('-')[1])));
  };

async function callWithCutHeads(
  t: ExecutionContext,
  route: Partial<Route>,
  script: Script,
  length: number,
): Promise<void> {
  const proxy = await TestProxy.start(route, [script]);
  t.teardown(() => proxy.close());
  const calls = Array.from({length}, (_, cutAt) =>
    proxy.call(`cut-${cutAt}`, {body: 'request'}),
  );
  for (const {status, body, isComplete} of await Promise.all(calls)) {
    t.deepEqual(
      {status, body, isComplete},
      {
        status: 502,
        body: '',
        isComplete: true,
      },
    );
  }
}

for (const [name, framing] of Object.entries(FRAMINGS)) {
  for (const end of Object.keys(ENDS)) {
    for (const route of ROUTES) {
      // Hundreds of calls at once would wait for each other beyond their time.
      test.serial(
        `a head that ends midway is no answer (${name}, ${end}, ${route.kind})`,
        async t => {
          // Guards against a success with an empty or short body, framed as
          // complete, for an endpoint that stopped inside its head.
          const script = cutHead(framing, end);
          const {length} = headOf('cut-100', framing);
          await callWithCutHeads(t, route, script, length - 2);
        },
      );
    }
  }
}

test.serial(
  'a head that ends midway after an interim answer is no answer',
  async t => {
    // Guards against an interim answer that is taken for the answer's own head.
    const interim = 'HTTP/1.1 103 Early Hints\r\nX-Signature: p\r\n\r\n';
    const script: Script = (socket, request) => {
      const id = idOf(request);
      const cutAt = Number(id.split('-')[1]);
      socket.end(interim + headOf(id, []).slice(0, cutAt));
    };
    const {length} = headOf('cut-100', []);
    await callWithCutHeads(t, {kind: 'stream'}, script, length - 2);
  },
);
