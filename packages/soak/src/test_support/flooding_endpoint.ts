/**
 * An endpoint in a process of its own that answers each request without end.
 * Argument: what it sends (see {@link FLOODS}); prints its address and
 * then the id of each request.
 */

import {createServer, type AddressInfo, type Socket} from 'node:net';
import {
  composeStreamHeaders,
  findRequestId,
} from '@snipestage/platform_stand_ins/answer_headers.js';

interface Flood {
  /** Of the answer; the request's id is put in. */
  readonly head: (id: string) => string;
  /** Sent again and again. */
  readonly unit: string;
}

const own = (id: string, ...lines: readonly string[]): string =>
  [
    'HTTP/1.1 200 OK',
    ...Object.entries(composeStreamHeaders(id)).map(
      ([name, value]) => `${name}: ${value}`,
    ),
    ...lines,
    '',
    '',
  ].join('\r\n');

const CHUNKED = 'Transfer-Encoding: chunked';
const chunk = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`;
const EVENT = 'id: 1\ndata: x\n\n';

/** By name. */
export const FLOODS = {
  'chunks of one byte': {head: id => own(id, CHUNKED), unit: chunk('x')},
  'a body without a length': {
    // A status without a stream: the answer is read as a whole.
    head: id => own(id).replace('200 OK', '404 Not Found'),
    unit: 'x'.repeat(1000),
  },
  'short events': {head: id => own(id, CHUNKED), unit: chunk(EVENT)},
  'text without an event': {
    head: id => own(id, CHUNKED),
    unit: chunk('x'.repeat(1000)),
  },
  'answers to other requests': {
    head: id => own(`other-${id}`, 'Content-Length: 5'),
    unit: `${own('other', 'Content-Length: 5')}whole`,
  },
  'interim answers': {head: () => '', unit: 'HTTP/1.1 100 Continue\r\n\r\n'},
} satisfies Record<string, Flood>;

const BLOCK_BYTES = 262_144;

function flood(socket: Socket, {head, unit}: Flood): void {
  const block = Buffer.from(unit.repeat(Math.ceil(BLOCK_BYTES / unit.length)));
  socket.on('error', () => undefined);
  socket.once('data', data => {
    const request = data.toString('latin1');
    const id = findRequestId(request);
    process.stdout.write(`${id}\n`);
    socket.write(head(id));
    const go = () => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on('drain', go);
    go();
  });
}

const name = process.argv[2];
if (name in FLOODS) {
  const server = createServer(socket =>
    flood(socket, FLOODS[name as keyof typeof FLOODS]),
  );
  server.listen(0, '127.0.0.1', () => {
    const {port} = server.address() as AddressInfo;
    process.stdout.write(`127.0.0.1:${port}\n`);
  });
}
