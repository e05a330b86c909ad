/**
 * A worker of a plain service, as a process of its own. Options, as JSON: `id`,
 * `host`, and `workMs` for each request.
 */

import {createServer} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';

const {id, host, workMs} = JSON.parse(process.argv[2]);

function say(message) {
  process.stdout.write(`${JSON.stringify(message)}\n`);
}

const server = createServer(async (request, response) => {
  if (request.url === '/healthz') {
    response.writeHead(200, {'X-Instance-Id': id}).end();
    return;
  }
  for await (const chunk of request) void chunk;
  const attempt = request.headers['x-attempt-id'];
  if (request.headers['x-expected-instance'] !== id) {
    response.writeHead(421, {'X-Instance-Id': id}).end();
    return;
  }
  say({ran: attempt});
  await pause(workMs);
  const answer = `${attempt} is done`;
  response.writeHead(200, {
    'X-Attempt-Id': attempt,
    'X-Response-Signature': `${id}.${attempt}`,
    'Content-Type': 'text/plain',
    'Content-Length': answer.length,
    Connection: 'close',
  });
  response.end(answer);
});

server.listen(0, host, () => say({port: server.address().port}));
