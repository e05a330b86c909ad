/**
 * A model worker, as a process of its own. It streams numbered events and goes
 * on after `Last-Event-Id`. When memory runs out, the newest of the least urgent
 * requests is preempted and read in again once there is room. Options, as JSON:
 * `id`, `host`, `born`; `slots` and `queue`, beyond which requests are shed;
 * `longQueue`, from which on new channels are reset; `memoryTokens`;
 * `isUnframed`: answers end with their channel; `firstMs` until the first event
 * of a request that has been read in, `stepMs` between events.
 */

import {createServer} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';

const {
  id,
  host,
  born,
  slots = 64,
  queue = 0,
  longQueue = Infinity,
  isUnframed = false,
  memoryTokens = 1e9,
  firstMs = 100,
  stepMs = 40,
} = JSON.parse(process.argv[2]);
const LOOK_EVERY_MS = 5;
const DEFAULT_PRIORITY = 5;
const running = [];
const waiting = [];

function say(message) {
  process.stdout.write(`${JSON.stringify(message)}\n`);
}

const server = createServer(async (request, response) => {
  const {headers, url} = request;
  if (url === '/v1/report') {
    const report = {phase: 'unified', queued: 0, active: running.length, born};
    response.writeHead(200, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(report));
    return;
  }
  if (url === '/healthz') {
    response.writeHead(200, {'X-Instance-Id': id}).end();
    return;
  }
  for await (const chunk of request) void chunk;
  const attempt = headers['x-attempt-id'];
  if (headers['x-expected-instance'] !== id) {
    response.writeHead(421, {'X-Instance-Id': id}).end();
    return;
  }
  const counts = [running.length, waiting.length, slots];
  const load = {'X-Instance-Load': counts.join()};
  if (running.length >= slots && waiting.length >= queue) {
    say({shed: attempt});
    response.writeHead(503, {'X-Not-Executed': '1', ...load}).end();
    return;
  }
  const [promptTokens, events] = headers['x-token-usage']
    .split(',')
    .map(Number);
  const run = {
    attempt,
    tokens: promptTokens,
    priority: Number(headers['x-request-priority'] ?? DEFAULT_PRIORITY),
    isPreempted: false,
    isClosed: false,
  };
  response.once('close', () => (run.isClosed = true));
  if (running.length >= slots) await new Promise(go => waiting.push(go));
  running.push(run);
  say({runs: attempt, after: Number(headers['last-event-id'] ?? 0)});
  const last = await stream(run, response, headers, events, load);
  running.splice(running.indexOf(run), 1);
  waiting.shift()?.();
  say({ends: attempt, last, events, isClosed: last < events});
});

async function stream(run, response, headers, events, load) {
  await makeRoom(run);
  await pause(firstMs);
  response.useChunkedEncodingByDefault = !isUnframed;
  response.writeHead(200, {
    'X-Attempt-Id': run.attempt,
    'X-Response-Signature': `${id}.${run.attempt}`,
    'X-Weight-Versions': '1',
    'Content-Type': 'text/event-stream',
    Connection: 'close',
    ...load,
  });
  let last = Number(headers['last-event-id'] ?? 0);
  while (last < events) {
    if (run.isPreempted) {
      await makeRoom(run);
      await pause(firstMs);
    }
    if (run.isClosed) return last;
    last += 1;
    response.write(`id: ${last}\ndata: piece ${last} of ${run.attempt}\n\n`);
    await pause(stepMs);
  }
  response.end();
  return last;
}

/** Waits until the request fits; a more urgent one preempts others. */
async function makeRoom(run) {
  run.isPreempted = true;
  while (!run.isClosed) {
    const held = running.filter(each => !each.isPreempted);
    const tokens = held.reduce((sum, each) => sum + each.tokens, 0);
    if (tokens + run.tokens <= memoryTokens) break;
    const victim = held.findLast(each => each.priority > run.priority);
    if (victim === undefined) {
      await pause(LOOK_EVERY_MS);
    } else {
      victim.isPreempted = true;
      say({preempted: victim.attempt, by: run.attempt});
    }
  }
  run.isPreempted = false;
}

server.on('connection', socket => {
  if (waiting.length >= longQueue) socket.resetAndDestroy();
});

server.listen(0, host, () => say({port: server.address().port}));
