import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {TestWorld, waitUntil} from './test_world.js';

interface Line {
  readonly requests: number;
  readonly outputTokens: number;
}

interface Report {
  readonly window: string;
  readonly lines: readonly Line[];
}

/** A report in the platform's log. */
interface LoggedReport {
  readonly content: Report;
}

const SHORT_WINDOWS = {windowMs: 2000, graceMs: 3000, writeEveryMs: 2500};
const SHORT_LEASE = {termMs: 2000, renewEveryMs: 300, marginMs: 300};

async function reports(world: TestWorld): Promise<Report[]> {
  const log = (await world.log(world.platform)) as {reports: LoggedReport[]};
  return log.reports.map(({content}) => content);
}

test('the bill matches what was served though instances die', async t => {
  // Answers of the platform are lost, and an instance is killed just after it has
  // served requests. No usage may be lost or billed twice, and a window that is
  // reported twice must have the same figures.
  const world = await TestWorld.start({
    entries: ['akl-a', 'akl-a', 'akl-a'],
    settings: {usage: SHORT_WINDOWS, lease: SHORT_LEASE},
  });
  t.teardown(() => world.close());
  let served = 0;
  const serve = async (entry: number, count: number) => {
    for (let index = 0; index < count; index++) {
      const {status} = await world.chat(entry, `${entry} ${index}`);
      t.is(status, 200);
      served += 1;
    }
  };
  await serve(0, 4);
  await serve(1, 3);
  await serve(2, 5);
  await world.control(world.platform, {
    faults: {reports: {mode: 'lose_answer', count: 2}},
  });
  await waitUntil(async () => sum(await reports(world)) >= 12);
  await serve(0, 4);
  // Long enough for a peer to get its copy, too short for the next write.
  await delay(700);
  await world.entries[0].process.kill();
  await serve(1, 2);
  await waitUntil(async () => sum(await reports(world)) >= served);
  const all = await reports(world);
  const byWindow = new Map<string, string>();
  for (const {window, lines} of all) {
    const figures = JSON.stringify(lines);
    t.is(
      byWindow.get(window) ?? figures,
      figures,
      'two reports of one window differ',
    );
    byWindow.set(window, figures);
  }
  t.is(sum(all), served);
});

/** Sums the requests; counts each window once, however often it was reported. */
function sum(all: readonly Report[]): number {
  const byWindow = new Map(all.map(report => [report.window, report.lines]));
  return [...byWindow.values()]
    .flat()
    .reduce((total, {requests}) => total + requests, 0);
}
