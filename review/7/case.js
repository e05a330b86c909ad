/**
 * A sound model worker preempts streams for a more urgent request; the other
 * worker is full. The machine's settings file has just changed (SIGHUP).
 */

import {readFileSync, writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {setTimeout as pause} from 'node:timers/promises';
import {URL} from 'node:url';
import {send} from '../lib-2/caller.js';
import {Record} from '../lib-2/record.js';
import {World} from '../lib-2/world.js';

const WITH_TROUBLE = process.env.TROUBLE !== '0';
const HOST_NAME = 'ficu95.example';
const KEY = 'n2ctnfzs989anu6wsjnb';
const MODEL = 'modelo';
/** Versions at which streams may begin are known by then. */
const SETTLE_MS = 3000;
/** Instances are counted once a window of usage has been reported. */
const COUNTED_WITHIN_MS = 40_000;
/** Earlier requests have ended by then. */
const ENDED_WITHIN_MS = 500;
const EARLIER_EVERY_MS = 100;
const EARLIER = {prompt: 100, events: 2, limitMs: 10_000};
/** Window of the retry budget. */
const EARLIER_FOR_MS = 10_000;
const AFTER_SIGNAL_MS = 300;
const URGENT_AFTER_MS = 600;
const SUMMARIES = 6;
const SUMMARY = {prompt: 9000, events: 40, limitMs: 5000};
/** It takes 1.9 s, and more memory than the summaries leave. */
const URGENT = {prompt: 54000, events: 45, limitMs: 10000};
const SLOTS = 64;
/** Room for the summaries, and for the urgent request instead of them. */
const MEMORY_TOKENS = SUMMARIES * SUMMARY.prompt;

const ROUTE = {
  host: HOST_NAME,
  type: 'streaming',
  service: MODEL,
  public: false,
  session_affinity: true,
};
const CONFIGURATION = {
  routes: [
    {
      ...ROUTE,
      name: 'r-summary',
      prefix: '/pufi791/',
      timeout_ms: SUMMARY.limitMs,
      target_latency_ms: 500,
      priority: 1,
      max_attempts: 2,
      stream_resume: true,
      gap_aim_ms: 300,
    },
    {
      ...ROUTE,
      name: 'r-tags',
      prefix: '/lohu930/',
      timeout_ms: URGENT.limitMs,
      target_latency_ms: 300,
      priority: 0,
      max_attempts: 1,
      stream_resume: false,
      gap_aim_ms: 200,
    },
  ],
  services: [
    {
      name: MODEL,
      health_path: '/healthz',
      max_connections: 370,
      protocol: 'h1',
      tls: false,
      runtime: {capacity: SLOTS, kv_capacity: MEMORY_TOKENS, stride: 1},
    },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [{name: 'hule930', api_keys: [KEY], priority: 1}],
};

async function main(record, world) {
  await world.start(CONFIGURATION);
  const preempted = new Set();
  const startWorker = async options => {
    const born = Date.now();
    const all = {...options, host: world.host, born};
    const {child, port} = await world.startProcess('model_worker.js', all);
    child.on('said', message => {
      if (/^[fb]/.test(message.runs ?? message.ends ?? '')) return;
      if (message.preempted !== undefined) preempted.add(message.preempted);
      record.line(`worker ${options.id}: ${JSON.stringify(message)}`);
    });
    const address = `${world.host}:${port}`;
    world.writeWorker(options.id, {
      service: MODEL,
      address,
      born,
      capacity: SLOTS,
    });
    return {id: options.id, port};
  };
  /** Requests of another machine take all slots of a worker. */
  const fill = ({id, port}) =>
    Array.from({length: SLOTS}, (_, index) =>
      send({
        host: world.host,
        port,
        path: '/lohu930/2f',
        id: `f${index}`,
        headers: {
          Host: HOST_NAME,
          'X-Expected-Instance': id,
          'X-Token-Usage': '100,250',
          'X-Tenant': 'hule930',
        },
        body: 'a prompt',
        limitMs: 10000,
      }),
    );
  await startWorker({id: 'i-first', memoryTokens: MEMORY_TOKENS});
  const full = await startWorker({id: 'i-full', slots: SLOTS});
  const instance = await world.startInstance();
  await pause(SETTLE_MS);

  const stream = (path, id, {prompt, events, limitMs}) =>
    send({
      host: instance.host,
      port: instance.front,
      path,
      id,
      headers: {
        Host: HOST_NAME,
        Authorization: `Bearer ${KEY}`,
        'X-Model': 'm',
        'X-Token-Usage': `${prompt},${events}`,
        'X-Prompt-Prefix': `5c1e07a2:60,${id}:${prompt - 60}`,
      },
      body: 'a prompt',
      limitMs,
    });
  const startedAtMs = performance.now();
  let countedAtMs;
  let earlier = 0;
  const isOver = () =>
    countedAtMs !== undefined &&
    performance.now() - countedAtMs > EARLIER_FOR_MS;
  while (!isOver()) {
    if (performance.now() - startedAtMs > COUNTED_WITHIN_MS) return 2;
    if (countedAtMs === undefined && /instances_learnt/.test(instance.output))
      countedAtMs = performance.now();
    void stream('/lohu930/1f', `b${earlier}`, EARLIER);
    earlier += 1;
    await pause(EARLIER_EVERY_MS);
  }
  record.line(`${earlier} earlier requests; the instances are counted`);
  await pause(ENDED_WITHIN_MS);
  const others = fill(full);
  if (WITH_TROUBLE) {
    const text = readFileSync(instance.path, 'utf8');
    writeFileSync(instance.path, text.replace('seed_lag_s=3', 'seed_lag_s=4'));
    instance.child.kill('SIGHUP');
    record.line('the settings file has changed, SIGHUP');
  }
  await pause(AFTER_SIGNAL_MS);

  const answering = [];
  for (let index = 0; index < SUMMARIES; index += 1) {
    const id = `5a${index}`;
    record.line(`client sends the summary ${id}`);
    answering.push(stream('/pufi791/2f', id, SUMMARY));
  }
  let urgent;
  if (WITH_TROUBLE) {
    await pause(URGENT_AFTER_MS);
    record.line('client sends the urgent request e0');
    urgent = stream('/lohu930/2f', 'e0', URGENT);
  }
  const answers = await Promise.all(answering);
  let cut = 0;
  let whole = 0;
  for (const [index, answer] of answers.entries()) {
    const pieces = (answer.body.match(/^data/gm) ?? []).length;
    const isWhole = answer.isComplete && pieces === SUMMARY.events;
    if (isWhole) whole += 1;
    else cut += 1;
    record.line(
      `client gets for 5a${index}: ${answer.status}, ${pieces} of ` +
        `${SUMMARY.events} pieces, complete ${answer.isComplete}`,
    );
  }
  await Promise.all(others);
  const first = await urgent;
  if (first !== undefined)
    record.line(`client gets for e0: ${first.status}, ${first.isComplete}`);
  if (!WITH_TROUBLE) return whole === SUMMARIES ? 0 : 2;
  if (preempted.size === 0) return 2;
  return cut > 0 ? 1 : 0;
}

const record = new Record(new URL('record.txt', import.meta.url));
const world = new World(record);
let code = 2;
try {
  code = await main(record, world);
} catch (error) {
  record.line(`the case could not run: ${error}`);
} finally {
  // Instances write their logs in batches.
  await pause(400);
  for (const {output} of world.instances) {
    for (const line of output.split('\n')) {
      if (/"event":"(request|attempt_failed|reloaded)"/.test(line))
        record.line(`instance: ${line}`);
    }
  }
  await world.close();
}
record.line(`exit ${code}`);
process.exit(code);
