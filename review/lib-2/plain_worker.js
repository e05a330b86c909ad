/**
 * A worker of a plain service, as a process of its own. Options, as JSON: `id`,
 * `host`, `port`, `bytes` of an answer, `haltMs` in the middle of it,
 * `framedAnswers`: so many answers have a length, later ones end with their
 * channel.
 */

import {createHash} from 'node:crypto';
import {createServer} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';

const {
  id,
  host,
  port = 0,
  bytes = 800,
  haltMs = 0,
  framedAnswers = 0,
} = JSON.parse(process.argv[2]);

let answers = 0;

function say(message) {
  process.stdout.write(`${JSON.stringify(message)}\n`);
}

const server = createServer(async (request, response) => {
  if (request.url === '/healthz') {
    response.writeHead(200, {'X-Instance-Id': id}).end();
    return;
  }
  let length = 0;
  for await (const chunk of request) length += chunk.length;
  const attempt = request.headers['x-attempt-id'];
  if (request.headers['x-expected-instance'] !== id) {
    response.writeHead(421, {'X-Instance-Id': id}).end();
    return;
  }
  const answer = `${attempt} `.padEnd(bytes, 'order filed ');
  say({ran: attempt, length, digest: hash(answer), bytes});
  response.useChunkedEncodingByDefault = false;
  answers += 1;
  const isFramed = answers <= framedAnswers;
  const framing = isFramed ? {'Content-Length': bytes} : {};
  response.writeHead(200, {
    'X-Attempt-Id': attempt,
    'X-Response-Signature': `${id}.${attempt}`,
    'Content-Type': 'text/plain',
    Connection: 'close',
    ...framing,
  });
  response.write(answer.slice(0, bytes / 2));
  await pause(haltMs);
  response.end(answer.slice(bytes / 2));
});

function hash(text) {
  return createHash('sha256').update(text).digest('hex').slice(0, 16);
}

server.listen(port, host, () => say({port: server.address().port}));
