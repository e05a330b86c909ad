import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import {
  composeHead,
  Crowd,
  POLL_MS,
  SmallSystem,
} from './test_support/small_system.js';
import {HOST} from './world/operator.js';

/** Far longer than any timeout of the route and its callers. */
const MAX_BODY_STAYS_MS = 30_000;

const CHUNKED = ['Transfer-Encoding: chunked'];
const chunk = (bytes: number): string =>
  `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

interface CrowdCase {
  readonly name: string;
  readonly callers: number;
  readonly bytes: (system: SmallSystem) => string;
}

const CROWDS: readonly CrowdCase[] = [
  {
    name: 'bodies in chunks of one byte that do not end',
    callers: 16,
    bytes: system =>
      composeHead(system, {lines: CHUNKED}) + chunk(1).repeat(300_000),
  },
  {
    name: 'bodies in large chunks that do not end',
    callers: 100,
    bytes: system =>
      composeHead(system, {lines: CHUNKED}) + chunk(15_000).repeat(60),
  },
  {
    name: 'requests sent ahead without a key, their answers unread',
    callers: 30,
    bytes: () =>
      `GET /look-up/x HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`.repeat(20_000),
  },
  {
    name: 'requests sent ahead with a key, their answers unread',
    callers: 20,
    bytes: system =>
      composeHead(system, {lines: ['Content-Length: 0']}).repeat(5000),
  },
  {
    name: 'heads that do not end',
    callers: 480,
    bytes: () =>
      `GET /look-up/x HTTP/1.1\r\nHost: ${HOST}\r\n${`X-Filler: ${'x'.repeat(1000)}\r\n`.repeat(250)}`,
  },
];

for (const {name, callers, bytes} of CROWDS) {
  test.serial(
    `an instance survives ${callers} clients with ${name}`,
    async t => {
      // Guards against clients that end or hang a process by what their bytes,
      // requests and connections cost.
      t.timeout(180_000);
      const system = await SmallSystem.start(t);
      const crowd = new Crowd(system.callersAddress);
      await crowd.send(callers, bytes(system));
      crowd.leave();
      await system.check(t);
    },
  );
}

const CONNECTIONS = 1200;
const CONNECTIONS_A_ROUND = 200;

for (const [port, addressOf] of [
  ['of callers', (system: SmallSystem) => system.callersAddress],
  ['of readiness', (system: SmallSystem) => system.readinessAddress],
] as const) {
  test.serial(
    `an instance survives ${CONNECTIONS} connections at the port ${port}`,
    async t => {
      // Guards against an instance without a descriptor left for its endpoints and
      // the store, or for ordinary callers.
      t.timeout(180_000);
      const system = await SmallSystem.start(t);
      const crowd = new Crowd(addressOf(system));
      for (let left = CONNECTIONS; left > 0; left -= CONNECTIONS_A_ROUND) {
        const round = Array.from(
          {length: CONNECTIONS_A_ROUND},
          async (_, index) => {
            const socket = await crowd.add();
            if (index % 3 === 0) socket.destroy();
            if (index % 3 === 1) socket.write('GET / HTTP/1.1\r\nHo');
          },
        );
        await Promise.all(round);
      }
      t.is(await system.callOrdinarily(), 200);
      crowd.leave();
      await system.check(t);
    },
  );
}

test.serial(
  'connections of 100 clients whose bodies stop just short of their end are closed',
  async t => {
    // Guards against clients that state no timeout and hold memory and descriptors
    // for as long as they like.
    t.timeout(180_000);
    const system = await SmallSystem.start(t);
    const before = system.descriptors;
    const crowd = new Crowd(system.callersAddress);
    const stated = ['Content-Length: 100000'];
    await crowd.send(
      100,
      composeHead(system, {lines: stated}) + 'x'.repeat(99_990),
    );
    const endMs = performance.now() + MAX_BODY_STAYS_MS;
    while (system.descriptors > before + 50 && performance.now() < endMs) {
      await pause(POLL_MS);
    }
    t.true(system.descriptors <= before + 50, `${system.descriptors}`);
    crowd.leave();
    await system.check(t);
  },
);
