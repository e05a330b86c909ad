/** A body without end of one worker ends the router process. */

import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {fileURLToPath, URL} from 'node:url';
import {HEALTH_PATH, promptHeaders, send, Worker} from '../lib/worker.js';
import {describeRoute, pause, runCase} from '../lib/world.js';

const CHANNELS = 12;
/** Slow, but within the time limits of its route. */
const BOOKING_MS = 3000;
const EVENTS = 100;
const EVERY_MS = 100;
/** The rule allows this many. */
const ALLOWED = 3;
/** Lines that are no events; repeated without end. */
const BLOCK = Buffer.from('no answer\n\n'.repeat(1000));
const record = fileURLToPath(new URL('record.txt', import.meta.url));

const isTroubled = process.env.TROUBLE !== '0';

await runCase(record, async world => {
  await world.startPlatform();
  const services = [
    {
      id: 'mender-llm',
      healthPath: HEALTH_PATH,
      engine: {batchSize: 64, cacheTokens: 640_442},
    },
    {id: 'shopfront-app', healthPath: HEALTH_PATH},
  ];
  const routes = [
    describeRoute('counter-answer', 'stream', 'mender-llm', {
      timeoutMs: 15_000,
      latencyTargetMs: 400,
      pauseTargetMs: 150,
    }),
    describeRoute('repair-booking', 'non_idempotent', 'shopfront-app', {
      timeoutMs: 4000,
      latencyTargetMs: 300,
    }),
  ];
  world.configure({routes, services});

  const begun = new Set();
  let mustSpoil = false;
  let sentBytes = 0;
  const spoil = (run, request, response, worker) => {
    if (!mustSpoil) {
      begun.add(run.requestId);
      void worker.stream(run, response, {events: EVENTS, everyMs: EVERY_MS});
      return true;
    }
    mustSpoil = false;
    world.note(`${run.worker} answers ${run.requestId} with bytes without end`);
    response.writeHead(200, {
      ...worker.headersOf(run),
      'Content-Type': 'text/event-stream',
    });
    let isOpen = true;
    response.once('close', () => {
      isOpen = false;
      const megabytes = (sentBytes / 1e6).toFixed(1);
      world.note(`the router has closed it after ${megabytes} MB`);
    });
    // No faster than it is read.
    const go = () => {
      while (isOpen) {
        sentBytes += BLOCK.length;
        if (response.write(BLOCK)) continue;
        response.once('drain', go);
        return;
      }
    };
    go();
    return true;
  };
  for (const number of [1, 2, 3]) {
    const engine = new Worker(world, {
      id: `engine-${number}`,
      service: 'mender-llm',
      isEngine: true,
      capacity: 64,
      behave: spoil,
    });
    await engine.start();
    engine.list();
  }
  for (const number of [1, 2, 3]) {
    const desk = new Worker(world, {
      id: `desk-${number}`,
      service: 'shopfront-app',
      capacity: 6,
      behave: (run, _request, response, worker) => {
        begun.add(run.requestId);
        void pause(BOOKING_MS).then(() => worker.answer(run, response));
        return true;
      },
    });
    await desk.start();
    desk.list();
  }

  await world.startRouters(2);
  const [router] = world.routers;
  const at = {host: router.settings.host, port: router.settings.callersPort};
  // The machine has to have been in touch for `contact_ms`.
  await pause(3200);

  const agents = Array.from(
    {length: CHANNELS},
    () => new Agent({keepAlive: true, maxSockets: 1}),
  );
  const book = (agent, id) =>
    send(at, {
      path: '/repair-booking/b',
      id,
      body: `book ${id}`,
      deadlineMs: 4000,
      agent,
    });
  const ask = (id, agent) =>
    send(at, {
      path: '/counter-answer/c',
      id,
      body: 'question',
      headers: promptHeaders(1),
      deadlineMs: 15_000,
      agent,
    });
  await Promise.all(
    agents.map((agent, index) => book(agent, `first-${index}`)),
  );

  const asked = agents.map((agent, index) =>
    index % 2 === 0
      ? book(agent, `booking-${index}`)
      : ask(`stream-${index}`, agent),
  );
  await pause(300);
  mustSpoil = isTroubled;
  const last = await ask('spoilt');
  world.note(`${last.id}: ${last.status} ${last.error ?? ''}`);
  const answers = await Promise.all(asked);
  for (const {id, status, isComplete} of answers)
    world.note(`${id}: ${status} ${isComplete ? 'whole' : 'closed early'}`);
  const lost = answers.filter(
    ({id, isComplete}) => !isComplete && begun.has(id),
  );
  await pause(300);
  for (const {atMs, code, signal, errors} of router.ends) {
    const error = /^.*(Error|FATAL).*$/m.exec(errors)?.[0] ?? '';
    world.note(`the process ended: code ${code}, signal ${signal} ${error}`);
    world.note(`  at ${atMs} ms, without a signal of the test`);
  }
  for (const {id} of lost)
    world.note(`${id} began at a sound worker; its kept channel closed`);
  return lost.length > ALLOWED
    ? [`LOST: ${lost.length} kept channels closed without a whole answer`]
    : [];
});
