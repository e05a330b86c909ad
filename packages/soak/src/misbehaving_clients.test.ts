import {readdirSync, readFileSync} from 'node:fs';
import {get} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {composeCallerHeaders} from '@snipestage/platform_stand_ins/caller_headers.js';
import {brandAs, type RequestId} from '@snipestage/types/ids.js';
import type {Instance} from './world/instance.js';
import {HOST} from './world/operator.js';
import {buildProgram} from './world/program.js';
import {World} from './world/world.js';

const LIMITS = {memoryMb: 200, maxDescriptors: 500};
const MEGABYTE = 1_000_000;
const KILOBYTE = 1024;
const POLL_MS = 20;
/** How long a crowd stays once it has sent what it sends. */
const CROWD_STAYS_MS = 3000;
const ORDINARY_TRIES = 10;
const MAX_RETRY_AFTER_MS = 1000;
const ORDINARY_TIMEOUT_MS = 20_000;
/** Far longer than any timeout of the route and its callers. */
const MAX_BODY_STAYS_MS = 30_000;

/** One instance of the real program, and what its process has taken at most. */
class SmallSystem {
  maxDescriptors = 0;
  private readonly polling: NodeJS.Timeout;
  private requests = 0;

  private constructor(
    private readonly world: World,
    private readonly instance: Instance,
  ) {
    this.polling = setInterval(() => {
      this.maxDescriptors = Math.max(this.maxDescriptors, this.descriptors);
    }, POLL_MS);
  }

  static async start(t: ExecutionContext): Promise<SmallSystem> {
    const world = new World({
      seed: 74_001,
      program: await buildProgram(),
      instances: 1,
      engines: 2,
      services: 2,
      dataCentres: 1,
      connectsDirectly: true,
      limits: LIMITS,
    });
    await world.start();
    const system = new SmallSystem(world, world.instances[0]);
    t.teardown(() => system.close());
    t.is(await system.callOrdinarily(), 200);
    return system;
  }

  get callersAddress(): string {
    return this.instance.callersAddress;
  }

  get readinessAddress(): string {
    return this.instance.readinessAddress;
  }

  get key(): string {
    return this.world.operator.keys[0].key;
  }

  get descriptors(): number {
    try {
      return readdirSync(`/proc/${this.instance.processId}/fd`).length;
    } catch {
      return 0;
    }
  }

  /** Checks what must hold whatever clients send. */
  async check(t: ExecutionContext): Promise<void> {
    t.deepEqual(this.world.history.ends, []);
    const status = readFileSync(
      `/proc/${this.instance.processId}/status`,
      'utf8',
    );
    const peakBytes = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * KILOBYTE;
    t.log(`${peakBytes} bytes, ${this.maxDescriptors} descriptors`);
    t.true(peakBytes <= LIMITS.memoryMb * MEGABYTE, `${peakBytes} bytes`);
    t.true(this.maxDescriptors <= LIMITS.maxDescriptors);
    t.is(await this.callOrdinarily(), 200);
  }

  /** Sends a request as clients do that honour what a refusal says. */
  async callOrdinarily(): Promise<number> {
    let status = 0;
    for (let number = 0; number < ORDINARY_TRIES; number += 1) {
      const answer = await this.callOnce();
      status = answer.status;
      if (status === 200) return status;
      await pause(Math.min(MAX_RETRY_AFTER_MS, answer.retryAfterMs));
    }
    return status;
  }

  private callOnce(): Promise<{status: number; retryAfterMs: number}> {
    this.requests += 1;
    const [host, port] = this.callersAddress.split(':');
    const headers = composeCallerHeaders({
      requestId: brandAs<RequestId>(`ordinary-${this.requests}`),
      host: HOST,
      callerTimeoutMs: ORDINARY_TIMEOUT_MS,
      key: this.key,
    });
    const failed = {status: 0, retryAfterMs: MAX_RETRY_AFTER_MS};
    return new Promise(resolve => {
      const request = get(
        {host, port, path: '/look-up/x', headers, agent: false},
        response => {
          response.resume();
          const seconds = Number(response.headers['retry-after'] ?? 0);
          resolve({
            status: response.statusCode ?? 0,
            retryAfterMs: seconds * 1000,
          });
        },
      );
      request.setTimeout(ORDINARY_TIMEOUT_MS, () => request.destroy());
      request.on('error', () => resolve(failed));
    });
  }

  private async close(): Promise<void> {
    clearInterval(this.polling);
    await this.world.close();
  }
}

/** Connections that send the given bytes and read nothing. */
class Crowd {
  readonly sockets: Socket[] = [];

  constructor(private readonly address: string) {}

  /** Resolves when the connection is open, or couldn't be opened. */
  add(): Promise<Socket> {
    const [host, port] = this.address.split(':');
    const socket = connect({host, port: Number(port)});
    socket.on('error', () => socket.destroy());
    socket.pause();
    this.sockets.push(socket);
    return new Promise(resolve => {
      socket.once('connect', () => resolve(socket));
      socket.once('close', () => resolve(socket));
    });
  }

  /** Adds callers who each send this, as fast as it is read. */
  async send(callers: number, bytes: string | Buffer): Promise<void> {
    await Promise.all(
      Array.from({length: callers}, async () => {
        const socket = await this.add();
        await new Promise<void>(resolve => {
          socket.once('close', () => resolve());
          socket.write(bytes, () => resolve());
          setTimeout(resolve, CROWD_STAYS_MS);
        });
      }),
    );
    await pause(CROWD_STAYS_MS);
  }

  leave(): void {
    for (const socket of this.sockets) socket.destroy();
  }
}

function head(system: SmallSystem, lines: readonly string[] = []): string {
  return [
    'POST /book/x HTTP/1.1',
    `Host: ${HOST}`,
    `Authorization: Bearer ${system.key}`,
    ...lines,
    '',
    '',
  ].join('\r\n');
}

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
    bytes: system => head(system, CHUNKED) + chunk(1).repeat(300_000),
  },
  {
    name: 'bodies in large chunks that do not end',
    callers: 100,
    bytes: system => head(system, CHUNKED) + chunk(15_000).repeat(60),
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
    bytes: system => head(system, ['Content-Length: 0']).repeat(5000),
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
    await crowd.send(100, head(system, stated) + 'x'.repeat(99_990));
    const endMs = performance.now() + MAX_BODY_STAYS_MS;
    while (system.descriptors > before + 50 && performance.now() < endMs) {
      await pause(POLL_MS);
    }
    t.true(system.descriptors <= before + 50, `${system.descriptors}`);
    crowd.leave();
    await system.check(t);
  },
);
