import test from 'ava';
import {
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const ENGINES = 8;
const BAD_PART = 'bad';
const REQUESTS = 16;
/** Crashes before the limit holds, and arrivals allowed after it. */
const MAX_ARRIVALS = 5 + 3;
const PAUSE_MS = 300;

function idOf(request: string): string {
  return /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
}

function partsOf(request: string): readonly string[] {
  return /x-parts: (\S+)/i.exec(request)?.[1].split(',') ?? [];
}

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

function event(number: number): string {
  return chunk(`id: ${number}\ndata: x\n\n`);
}

/**
 * Engines that crash once they have sent the head of an answer to a prompt
 * with the bad part, and are back at once under another id.
 */
async function startCrashable(): Promise<TestProxy> {
  const proxy = new TestProxy();
  const script: Script = (socket, request) => {
    const {endpoint} = proxy.received[proxy.received.length - 1];
    socket.write(streamHead(idOf(request)));
    if (!partsOf(request).includes(BAD_PART)) {
      socket.end(event(1) + event(2) + event(3) + chunk(''));
      return;
    }
    setTimeout(() => {
      proxy.crash(endpoint);
      void proxy.restart(endpoint, `${endpoint}-again`, script);
    }, 20);
  };
  await proxy.begin({kind: 'stream'}, Array<Script>(ENGINES).fill(script));
  return proxy;
}

function send(proxy: TestProxy, id: string, parts: readonly string[]) {
  const headers = {'X-Parts': [...parts, `own-${id}`].join()};
  return proxy.call(id, {body: `order ${id}`, headers});
}

function countArrivals(proxy: TestProxy, part: string): number {
  return proxy.received.filter(({request}) => partsOf(request).includes(part))
    .length;
}

test('requests that share a part of their prompts stop crashing endpoints', async t => {
  // Guards against endpoints that crash one after the other under different
  // requests that have one part of their prompts in common.
  const proxy = await startCrashable();
  t.teardown(() => proxy.close());
  const soundStatuses: number[] = [];
  for (let number = 0; number < REQUESTS; number += 1) {
    await send(proxy, `bad-${number}`, ['system', 'manual', BAD_PART]);
    await pause(PAUSE_MS);
    const parts = ['system', 'manual', `topic-${number % 4}`];
    const sound = await send(proxy, `sound-${number}`, parts);
    soundStatuses.push(sound.status);
  }
  const arrivals = countArrivals(proxy, BAD_PART);
  t.true(arrivals <= MAX_ARRIVALS, `${arrivals} arrivals`);
  t.deepEqual(soundStatuses, Array<number>(REQUESTS).fill(200));
});
