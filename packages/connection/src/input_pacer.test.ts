import {PassThrough} from 'node:stream';
import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import {InputPacer} from './input_pacer.js';

const LARGE = Buffer.from('0123456789'.repeat(20_000));

/** A clock on which each part that is read takes this long. */
function startPacer(costMs: number) {
  let nowMs = 0;
  const pacer = new InputPacer(() => nowMs);
  const connection = new PassThrough({highWaterMark: LARGE.length});
  pacer.pace(connection);
  const parts: Buffer[] = [];
  const read = (part: Buffer) => {
    nowMs += costMs;
    parts.push(part);
  };
  return {connection, parts, read};
}

for (const costMs of [0, 10]) {
  test(`all bytes arrive once, in order and before the end (${costMs} ms a part)`, async t => {
    // Guards against a bound that drops, doubles or reorders what comes.
    const {connection, parts, read} = startPacer(costMs);
    connection.on('data', read);
    const ended = new Promise(done => connection.once('end', done));
    connection.write(LARGE);
    connection.end(LARGE);
    await ended;
    t.true(Buffer.concat(parts).equals(Buffer.concat([LARGE, LARGE])));
  });
}

test('a reader that pauses gets nothing until it resumes', async t => {
  // Guards against bytes that pile up in front of a reader that has paused.
  const {connection, parts, read} = startPacer(1);
  connection.on('data', part => {
    read(part as Buffer);
    if (parts.length === 3) connection.pause();
  });
  connection.write(LARGE);
  await pause(50);
  t.is(parts.length, 3);
  connection.resume();
  await pause(500);
  t.true(Buffer.concat(parts).equals(LARGE));
});

test('nothing of a closed connection is passed on', async t => {
  // Guards against answers that are read after their request has ended.
  const {connection, parts, read} = startPacer(10);
  connection.on('data', read);
  connection.write(LARGE);
  await pause(0);
  connection.destroy();
  await pause(10);
  const before = parts.length;
  await pause(200);
  t.is(parts.length, before);
});

test('connections that wait get some time in each turn of the event loop', async t => {
  // Guards against costly input that leaves no time to everything else, and
  // against time that is left to nobody.
  const turns: Array<() => void> = [];
  let nowMs = 0;
  let parts = 0;
  const pacer = new InputPacer(
    () => nowMs,
    run => void turns.push(run),
  );
  for (let index = 0; index < 5; index += 1) {
    const connection = new PassThrough({highWaterMark: LARGE.length});
    pacer.pace(connection);
    connection.on('data', () => {
      nowMs += 10;
      parts += 1;
    });
    connection.write(LARGE);
    await pause(0);
  }
  for (let turn = 0; turn < 20; turn += 1) {
    const before = parts;
    turns.shift()?.();
    await pause(0);
    t.is(parts, before + 1);
  }
});

test('a crowd of new connections takes little more than one part each', async t => {
  // Guards against ordinary callers who wait until each connection of a crowd has
  // used a burst of its own.
  const PART_MS = 1;
  const CROWD = 100;
  let nowMs = 0;
  const pacer = new InputPacer(
    () => nowMs,
    () => undefined,
  );
  for (let index = 0; index < CROWD; index += 1) {
    const connection = new PassThrough({highWaterMark: LARGE.length});
    pacer.pace(connection);
    connection.on('data', () => (nowMs += PART_MS));
    connection.write(LARGE);
    await pause(0);
  }
  t.true(nowMs <= 2 * CROWD * PART_MS, `${nowMs} ms`);
});
