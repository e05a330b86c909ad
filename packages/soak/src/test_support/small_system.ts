/** One instance of the real program on a small machine, and crowds around it. */

import {readdirSync, readFileSync} from 'node:fs';
import {get} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import {composeCallerHeaders} from '@snipestage/platform_stand_ins/caller_headers.js';
import {writeEndpoint} from '@snipestage/platform_stand_ins/operator_rows.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type EndpointId,
  type RequestId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import type {Instance} from '../world/instance.js';
import {ENGINES, HOST} from '../world/operator.js';
import {buildProgram} from '../world/program.js';
import {World} from '../world/world.js';

const LIMITS = {memoryMb: 200, maxDescriptors: 500};
const MEGABYTE = 1_000_000;
const KILOBYTE = 1024;
export const POLL_MS = 20;
/** How long a crowd stays once it has sent what it sends. */
const CROWD_STAYS_MS = 3000;
const TEST_ENGINE = 'test-engine';
const ORDINARY_TRIES = 10;
const MAX_RETRY_AFTER_MS = 1000;
const ORDINARY_TIMEOUT_MS = 20_000;

/** One instance of the real program, and what its process has taken at most. */
export class SmallSystem {
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

  /** @param engines that are sound. */
  static async start(t: ExecutionContext, engines = 2): Promise<SmallSystem> {
    const world = new World({
      seed: 74_001,
      program: await buildProgram(),
      instances: 1,
      engines,
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

  /** Lists an engine that a test runs; resolves when the instance knows it. */
  async listEngine(address: string): Promise<void> {
    writeEndpoint(this.world.store, {
      id: brandAs<EndpointId>(TEST_ENGINE),
      service: ENGINES,
      address: brandAs<EndpointAddress>(address),
      dataCentre: this.world.dataCentres[0],
      softwareVersion: brandAs<SoftwareVersion>('v1'),
      capacity: 500,
      isLeaving: false,
      isCheap: false,
      bornEpochMs: Date.now(),
    });
    const isKnown = () =>
      this.instance.output.includes(
        `"endpoint_listed","endpoint":"${TEST_ENGINE}"`,
      );
    while (!isKnown()) await pause(POLL_MS);
  }

  get key(): string {
    return this.world.operator.keys[0].key;
  }

  signal(signal: NodeJS.Signals): void {
    process.kill(this.instance.processId!, signal);
  }

  /** Of another client account. */
  get otherKey(): string {
    return this.world.operator.keys.at(-1)!.key;
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

  /** Sends one request, whatever the answer. */
  callOnce(): Promise<{status: number; retryAfterMs: number}> {
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
export class Crowd {
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
  async send(
    callers: number,
    bytes: string | ((index: number) => string),
  ): Promise<void> {
    await Promise.all(
      Array.from({length: callers}, async (_, index) => {
        const socket = await this.add();
        await new Promise<void>(resolve => {
          socket.once('close', () => resolve());
          const own = typeof bytes === 'string' ? bytes : bytes(index);
          socket.write(own, () => resolve());
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

/** Options of {@link composeHead}; defaults in the brackets. */
export interface HeadOptions {
  /** Further lines (none). */
  readonly lines?: readonly string[];
  /** (`/book/x`) */
  readonly path?: string;
  /** Of the client account (that of ordinary requests). */
  readonly key?: string;
}

/** Head of a POST request of a client account. */
export function composeHead(
  system: SmallSystem,
  {lines = [], path = '/book/x', key = system.key}: HeadOptions = {},
): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Authorization: Bearer ${key}`,
    ...lines,
    '',
    '',
  ].join('\r\n');
}
