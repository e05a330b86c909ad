import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {brandAs} from '@snipestage/types/ids.js';
import test, {type ExecutionContext} from 'ava';
import {EndpointError} from './endpoint_error.js';
import type {EngineCall, EngineEvent} from './engine_driver.js';
import {HttpEngineDriver} from './http_engine_driver.js';

type Responder = (
  response: http.ServerResponse,
  request: http.IncomingMessage,
) => void;

async function startEngine(
  t: ExecutionContext,
  respond: Responder,
): Promise<string> {
  const server = http.createServer((request, response) => {
    request.resume();
    respond(response, request);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function callTo(url: string, overrides: Partial<EngineCall> = {}): EngineCall {
  return {
    url,
    path: '/v1/completions',
    attempt: brandAs('r.1'),
    body: {prompt: 'hi'},
    tier: 0,
    signal: new AbortController().signal,
    firstTokenTimeoutMs: 60_000,
    chunkTimeoutMs: 60_000,
    ...overrides,
  };
}

function chunk(id: string, text: string): string {
  return `data: ${JSON.stringify({id, choices: [{text}]})}\n\n`;
}

async function read(call: EngineCall): Promise<EngineEvent[]> {
  const events: EngineEvent[] = [];
  await new HttpEngineDriver().run(call, batch => void events.push(...batch));
  return events;
}

const OWN_HEADERS = {'x-request-id': 'r.1'};

test('a stream with its end mark is read completely', async t => {
  const url = await startEngine(t, response => {
    response.writeHead(200, OWN_HEADERS);
    response.end(`${chunk('r.1', 'a')}${chunk('r.1', 'é')}data: [DONE]\n\n`);
  });
  const events = await read(callTo(url));
  const text = events.map(event => (event.kind === 'token' ? event.text : ''));
  t.is(text.join(''), 'aé');
});

test('a chunk of another request fails the attempt', async t => {
  // An engine mixes up two answers in the middle of a stream. The caller would
  // receive another customer's data.
  const url = await startEngine(t, response => {
    response.writeHead(200, OWN_HEADERS);
    response.end(`${chunk('r.2', 'stranger')}data: [DONE]\n\n`);
  });
  const error = await t.throwsAsync(read(callTo(url)), {
    instanceOf: EndpointError,
  });
  t.is(error.kind, 'mismatched');
});

test('an answer whose header names another request fails the attempt', async t => {
  // A late answer to an earlier request arrives on this connection.
  const url = await startEngine(t, response => {
    response.writeHead(200, {'x-request-id': 'r.0'});
    response.end(`${chunk('r.1', 'a')}data: [DONE]\n\n`);
  });
  const error = await t.throwsAsync(read(callTo(url)), {
    instanceOf: EndpointError,
  });
  t.is(error.kind, 'mismatched');
});

test('a stream that ends without its end mark is broken', async t => {
  // An engine crashes and its operating system closes the connection cleanly.
  // An incomplete answer would be taken for a complete one.
  const url = await startEngine(t, response => {
    response.writeHead(200, OWN_HEADERS);
    response.end(chunk('r.1', 'a'));
  });
  const error = await t.throwsAsync(read(callTo(url)), {
    instanceOf: EndpointError,
  });
  t.is(error.kind, 'broken');
  t.is(error.verdict, 'may_have_run');
});

test('an attempt fails when its connection goes silent', async t => {
  // Something on the network path has lost the connection's state. No error is
  // ever reported; the caller would wait forever.
  const url = await startEngine(t, response => {
    response.writeHead(200, OWN_HEADERS);
    response.write(chunk('r.1', 'a'));
  });
  const error = await t.throwsAsync(read(callTo(url, {chunkTimeoutMs: 50})), {
    instanceOf: EndpointError,
  });
  t.is(error.kind, 'silent');
});

test('nothing is sent to an engine that wants no requests any more', async t => {
  // Guards against attempts and resumed streams that reach an engine long after
  // it requested backoff, over a connection that opened slowly.
  let requests = 0;
  const url = await startEngine(t, response => {
    requests += 1;
    response.end();
  });
  const call = callTo(url, {mayStillSend: () => false});
  const error = await t.throwsAsync(read(call), {instanceOf: EndpointError});
  t.like(error, {kind: 'withheld', verdict: 'not_run'});
  t.is(requests, 0);
});

test('a request that an engine refuses counts as not run', async t => {
  const url = await startEngine(t, response => {
    response.writeHead(503);
    response.end();
  });
  const error = await t.throwsAsync(read(callTo(url)), {
    instanceOf: EndpointError,
  });
  t.is(error.verdict, 'not_run');
});

test('an engine receives the tier but not the caller’s credentials', async t => {
  // Without the tier as priority, a full engine could serve a background
  // request before an urgent one.
  let headers: http.IncomingHttpHeaders = {};
  const url = await startEngine(t, (response, request) => {
    headers = request.headers;
    response.writeHead(200, OWN_HEADERS);
    response.end('data: [DONE]\n\n');
  });
  await read(callTo(url, {tier: 3}));
  t.is(headers['x-request-priority'], '3');
  t.is(headers.authorization, undefined);
});

test('a stream without events that doesn’t end is given up', async t => {
  // Guards against one answer that takes all memory of the process.
  for (const block of ['x', '\n', 'no event\n\n', ': comment\n\n']) {
    const part = block.repeat(10_000);
    const url = await startEngine(t, response => {
      const repeat = () => {
        if (!response.destroyed) response.write(part, repeat);
      };
      response.writeHead(200, OWN_HEADERS);
      repeat();
    });
    const error = await t.throwsAsync(read(callTo(url)), {
      instanceOf: EndpointError,
    });
    t.is(error.kind, 'broken', JSON.stringify(block));
  }
});
