import http from 'node:http';
import test from 'ava';
import {
  get,
  SLOW_ROUTE,
  startGateway,
  TestEndpoint,
  waitUntil,
} from './test_support/test_gateway.js';

/** The balancer has noticed by then, and there is still some grace time. */
const LATE_IN_A_STOP_MS = 2500;

/** A gateway with one endpoint behind its route. */
async function startWithEndpoint(
  endpoint: TestEndpoint,
  changes: Partial<typeof SLOW_ROUTE> = {},
) {
  await endpoint.start();
  const started = await startGateway({routes: [{...SLOW_ROUTE, ...changes}]});
  started.configuration.put('1');
  started.endpoints.put(endpoint.address);
  await waitUntil(() => started.gateway.isReady);
  return started;
}

function headersOf(id: string, waitsForMs = 10_000): Record<string, string> {
  return {
    host: SLOW_ROUTE.host,
    'x-request-id': id,
    'x-waits-ms': String(waitsForMs),
  };
}

/** Answers in one piece. */
function answersAfter(delayMs: number): TestEndpoint {
  return new TestEndpoint((response, id) => {
    setTimeout(() => {
      response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
      response.end('done');
    }, delayMs);
  });
}

function pause(delayMs: number): Promise<void> {
  return new Promise(done => setTimeout(done, delayMs));
}

test('an instance that still works on its last requests takes no new connections', async t => {
  // A long answer keeps an instance that was told to stop from ending. A caller
  // that opens a connection in its last second would see it closed under its
  // request, with an unknown outcome.
  const endpoint = answersAfter(3000);
  const {gateway, callers} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const last = get(callers, undefined, headersOf('last'));
  await waitUntil(() => endpoint.begun.length > 0);
  const stopped = gateway.stop();
  await pause(LATE_IN_A_STOP_MS);
  await t.throwsAsync(get(callers), {code: 'ECONNREFUSED'});
  t.is((await last).statusCode, 200);
  await stopped;
});

test('the log tells how late in a stop a request came and on what connection', async t => {
  // A request is lost in a stop. Whether the balancer brought it on a new
  // connection or its caller had kept one, its line has to tell.
  const endpoint = answersAfter(0);
  const {gateway, callers, lines} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const agent = new http.Agent({keepAlive: true});
  t.teardown(() => agent.destroy());
  await get(callers, agent, headersOf('before'));
  const stopped = gateway.stop();
  await get(callers, agent, headersOf('after'));
  await stopped;
  const described = lines
    .map(line => JSON.parse(line))
    .filter(({event}) => event === 'request');
  t.is(described[0].sinceStopMs, undefined);
  t.is(described[1].connectionRequests, 2);
  t.true(described[1].sinceStopMs >= 0);
  t.true(described[1].connectionAgeMs >= described[1].sinceStopMs);
});
