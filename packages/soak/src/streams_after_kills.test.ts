import {setTimeout as pause} from 'node:timers/promises';
import {get} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {
  composeCallerHeaders,
  type TakenUpStream,
} from '@snipestage/platform_stand_ins/caller_headers.js';
import {
  readEvents,
  STREAM_DURATION_PARAMETER,
  type ReadEvents,
} from '@snipestage/platform_stand_ins/stream_text.js';
import {brandAs, type RequestId} from '@snipestage/types/ids.js';
import type {Instance} from './world/instance.js';
import {ENGINES, HOST} from './world/operator.js';
import {buildProgram} from './world/program.js';
import {World} from './world/world.js';

const INSTANCES = 12;
const KILLED_SHARE = 1 / 3;
const STREAMS_EACH = 3;
const STREAM_MS = 5000;
const CALLER_TIMEOUT_MS = 9000;
const ROUNDS = 2;
const REFUSED = 503;
/** Callers honour Retry-After up to a third of the time they have left. */
const MAX_RETRY_AFTER_MS = 500;
const RELEASE_KNOWN_AFTER_MS = 2500;
const RESTARTED_AFTER_MS = 3500;

/** One try of a caller, with what it has read so far. */
class Try {
  status = 0;
  retryAfterMs = MAX_RETRY_AFTER_MS;
  readonly ended: Promise<void>;
  private text = '';

  constructor(
    readonly instance: Instance,
    readonly id: string,
    key: string,
    takesUp?: TakenUpStream,
  ) {
    const headers = composeCallerHeaders({
      requestId: brandAs<RequestId>(id),
      host: HOST,
      callerTimeoutMs: CALLER_TIMEOUT_MS,
      key,
      promptTokens: 400,
      takesUp,
    });
    const [host, port] = instance.callersAddress.split(':');
    const path = `/draft/${id}?${STREAM_DURATION_PARAMETER}=${STREAM_MS}`;
    this.ended = new Promise(resolve => {
      get({host, port, path, headers, agent: false}, response => {
        this.status = response.statusCode ?? 0;
        const seconds = Number(response.headers['retry-after'] ?? 1);
        this.retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, seconds * 1000);
        response.on('data', data => (this.text += String(data)));
        response.on('error', () => resolve());
        response.on('close', () => resolve());
      }).on('error', () => resolve());
    });
  }

  get events(): ReadEvents {
    return readEvents(this.text);
  }
}

/** Real processes that take themselves for a part of a larger system. */
class Fleet {
  private constructor(
    readonly world: World,
    private readonly counting: NodeJS.Timeout,
  ) {}

  static async start(instances: number): Promise<Fleet> {
    const world = new World({
      seed: 75_001,
      program: await buildProgram(),
      instances: INSTANCES,
      engines: 8,
      services: 2,
      dataCentres: 2,
    });
    await world.start();
    const place = {table: 'snipestage-shared', key: 'instances'};
    const count = () => world.store.put(place, {count: instances});
    count();
    return new Fleet(world, setInterval(count, 500));
  }

  async close(): Promise<void> {
    clearInterval(this.counting);
    await this.world.close();
  }

  /** Replaces every second engine by one of another software version. */
  async release(): Promise<void> {
    const engines = this.world.endpoints.filter(
      ({service}, index) => service === ENGINES && index % 2 === 0,
    );
    for (const engine of engines) await engine.replace(0, 'v2');
    await pause(RELEASE_KNOWN_AFTER_MS);
  }

  begin(round: number): Try[] {
    const [{key}] = this.world.operator.keys;
    return this.world.instances.flatMap((instance, index) =>
      Array.from(
        {length: STREAMS_EACH},
        (_, number) => new Try(instance, `s-${round}-${index}-${number}`, key),
      ),
    );
  }

  /** @returns whether the stream went on, by its caller's last try. */
  async takeUp(broken: Try, living: readonly Instance[]): Promise<Try> {
    const [{key}] = this.world.operator.keys;
    const lastEventId = broken.events.lastId;
    const takesUp = {firstAttempt: broken.id, lastEventId};
    const deadlineMs = performance.now() + CALLER_TIMEOUT_MS / 2;
    for (let number = 0; ; number += 1) {
      const instance =
        living[(Number(broken.id.at(-1)) + number) % living.length];
      const next = new Try(instance, `${broken.id}-${number}`, key, takesUp);
      await next.ended;
      const mayTryAgain = performance.now() < deadlineMs;
      if (next.status !== REFUSED || !mayTryAgain) return next;
      await pause(next.retryAfterMs);
    }
  }
}

async function killThird(
  t: ExecutionContext,
  fleet: Fleet,
  round: number,
): Promise<void> {
  const {instances} = fleet.world;
  const streams = fleet.begin(round);
  while (streams.some(({events}) => events.lastId === 0)) await pause(1);
  const killed = instances.filter(
    (_, index) => (index + round) % (1 / KILLED_SHARE) === 0,
  );
  for (const instance of killed) instance.kill();
  const living = instances.filter(each => !killed.includes(each));
  const broken = streams.filter(({instance}) => killed.includes(instance));
  await Promise.all(broken.map(({ended}) => ended));
  const tries = await Promise.all(
    broken.map(each => fleet.takeUp(each, living)),
  );
  const refused = tries.filter(({status}) => status !== 200);
  t.deepEqual(
    refused.map(({id, status}) => `${id}: ${status}`),
    [],
  );
  for (const [index, {events}] of tries.entries()) {
    const versions = [...broken[index].events.versions, ...events.versions];
    t.is(new Set(versions).size, 1, broken[index].id);
  }
  await Promise.all(streams.map(({ended}) => ended));
}

for (const instances of [8, 62, 380]) {
  test.serial(
    `streams go on after a kill of a third of ${instances} instances while two software versions serve`,
    async t => {
      // Guards against a stream whose software version is known only to the
      // instance that is killed, from its first event on.
      t.timeout(120_000);
      const fleet = await Fleet.start(instances);
      t.teardown(() => fleet.close());
      await fleet.release();
      for (let round = 0; round < ROUNDS; round += 1) {
        await killThird(t, fleet, round);
        await pause(RESTARTED_AFTER_MS);
      }
    },
  );
}
