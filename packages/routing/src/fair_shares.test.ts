import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {
  brandAs,
  type ClientAccountId,
  type PromptPartId,
} from '@snipestage/types/ids.js';
import {AccountTokens, maxMinShare} from './account_tokens.js';
import {FairShares} from './fair_shares.js';
import {RefusedSessions} from './refused_sessions.js';
import {RoomPressure} from './room_pressure.js';
import {
  learnRate,
  makeArrived,
  makeLongPrompt,
  makeRoomFixture,
  NOW_MS,
  reportLoads,
  type RoomFixture,
} from './test_support/room_fixtures.js';

const USUAL_COUNT = 22;
/** Two of 24 accounts send six times their usual. */
const WEIGHTS = [6, 6, ...Array<number>(USUAL_COUNT).fill(1)];

interface Bench extends RoomFixture {
  readonly shares: FairShares;
  readonly sessions: RefusedSessions;
}

function makeBench(running: number): Bench {
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running}, NOW_MS - 500);
  const random = createSeededRandom(9);
  const sessions = new RefusedSessions({random});
  const pressure = new RoomPressure({room: bench.room});
  return {
    ...bench,
    sessions,
    shares: new FairShares({pressure, sessions, random}),
  };
}

function nameAccount(index: number): ClientAccountId {
  return brandAs<ClientAccountId>(`account-${index}`);
}

interface Counts {
  readonly asked: number[];
  readonly refused: number[];
}

/** Asks for 20 s, four times a second, as an instance is asked. */
function askAll(bench: Bench, weights: readonly number[], seed = 1): Counts {
  const random = createSeededRandom(seed);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const counts = {asked: weights.map(() => 0), refused: weights.map(() => 0)};
  for (let index = 0; index < 80; index++) {
    const nowMs = NOW_MS + index * 250;
    reportLoads(bench, {running: 30}, nowMs - 800);
    let left = random() * total;
    const account = weights.findIndex(weight => (left -= weight) < 0);
    const request = makeArrived(bench.engines, {
      nowMs,
      clientAccount: nameAccount(account),
      prompt: makeLongPrompt(`session-${index}`),
    });
    counts.asked[account] += 1;
    const isRefused = bench.shares.decide(request).kind === 'refuse';
    if (isRefused) counts.refused[account] += 1;
  }
  return counts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

test('max-min shares give what small accounts do not use to the others', t => {
  // Guards against equal parts that are left unused.
  t.is(maxMinShare([1, 1, 6], 5), 3);
  t.is(maxMinShare([4, 4, 4], 6), 2);
  t.is(maxMinShare([1, 2], 10), Number.POSITIVE_INFINITY);
});

test('load pattern: two of 24 accounts send six times their usual', t => {
  // Guards against accounts that crowd out all others in a shortage. The
  // instance sees 17 requests of a large account in 20 s, and 3 of the others.
  const asked = {large: 0, usual: 0};
  const refused = {large: 0, usual: 0};
  for (let seed = 1; seed <= 20; seed++) {
    const counts = askAll(makeBench(30), WEIGHTS, seed);
    asked.large += sum(counts.asked.slice(0, 2));
    asked.usual += sum(counts.asked.slice(2));
    refused.large += sum(counts.refused.slice(0, 2));
    refused.usual += sum(counts.refused.slice(2));
  }
  const note = JSON.stringify({asked, refused});
  t.true(refused.large > 0.3 * asked.large, note);
  t.true(refused.usual < 0.03 * asked.usual, note);
});

test('while an engine has room no account is refused', t => {
  // Guards against shares that limit an account beside free engines.
  const bench = makeBench(30);
  const [{id}] = bench.engines;
  const idle = {running: 0, waiting: 0, capacity: 128};
  let refused = 0;
  for (let index = 0; index < 200; index++) {
    const nowMs = NOW_MS + index * 5;
    bench.monitor.noteReportedLoad(id, idle, nowMs - 400);
    const request = makeArrived(bench.engines, {nowMs});
    if (bench.shares.decide(request).kind === 'refuse') refused += 1;
  }
  t.is(refused, 0);
});

test('accounts of another urgency rank do not count', t => {
  // Guards against refusing an urgent request for a less urgent account.
  const bench = makeBench(30);
  askAll(bench, WEIGHTS);
  const request = makeArrived(bench.engines, {
    nowMs: NOW_MS + 20_000,
    urgencyRank: 1,
    clientAccount: nameAccount(0),
  });
  t.is(bench.shares.decide(request).kind, 'admit');
  const most = makeArrived(bench.engines, {urgencyRank: 0});
  for (let index = 0; index < 50; index++)
    t.is(bench.shares.decide({...most}).kind, 'admit');
});

test('without loads of other instances nothing is refused', t => {
  // Guards against shares of an instance whose relay is cut off.
  const bench = makeBench(30);
  const nowMs = NOW_MS + 5000;
  for (let index = 0; index < 100; index++) {
    const request = makeArrived(bench.engines, {nowMs});
    t.is(bench.shares.decide(request).kind, 'admit');
  }
});

test('a session that is refused twice gets in', t => {
  // Guards against sessions that are never served: none that asks four times
  // in 8 s may be, also of an account above its share.
  const bench = makeBench(30);
  askAll(bench, WEIGHTS);
  let refused = 0;
  for (let session = 0; session < 50; session++) {
    let served = 0;
    for (let tries = 0; tries < 4; tries++) {
      const nowMs = NOW_MS + 20_000 + tries * 2600;
      reportLoads(bench, {running: 30}, nowMs - 800);
      const request = makeArrived(bench.engines, {
        nowMs,
        clientAccount: nameAccount(0),
        prompt: makeLongPrompt(`patient-${session}`),
      });
      if (bench.shares.decide(request).kind === 'admit') served += 1;
      else refused += 1;
    }
    t.true(served > 0, `${session}`);
  }
  t.true(refused > 20);
});

test('a session that asks other instances each time gets in', t => {
  // Guards against the same where a balancer spreads the tries of a client:
  // instances don't know of each other's refusals.
  const epochAt = (nowMs: number) => nowMs;
  for (let session = 0; session < 200; session++) {
    const draws = [0, 1, 2, 3].map(tries =>
      new RefusedSessions({epochAt}).drawFor(
        makeArrived([], {
          nowMs: NOW_MS + session * 37 + tries * 2000,
          prompt: makeLongPrompt(`spread-${session}`),
        }),
      ),
    );
    t.true(Math.max(...draws) >= 0.75, draws.join(' '));
  }
});

test('a client that makes up sessions displaces only its own', t => {
  // Guards against growing state, and against sessions of other accounts that
  // are forgotten and refused again.
  const sessions = new RefusedSessions();
  const patient = makeArrived([], {prompt: makeLongPrompt('patient')});
  sessions.noteRefused(patient);
  sessions.noteRefused(patient);
  for (let index = 0; index < 5000; index++) {
    const made = makeLongPrompt(`made-up-${index}`);
    sessions.noteRefused(
      makeArrived([], {clientAccount: nameAccount(7), prompt: made}),
    );
  }
  t.true(sessions.isDue(patient));
  t.is(sessions.size, 65);
});

test('a client that makes up sessions stays above its share', t => {
  // Guards against sessions as a way around the share of an account.
  const bench = makeBench(30);
  const counts = askAll(bench, WEIGHTS);
  t.true(sum(counts.refused.slice(0, 2)) > 0);
  const draws = Array.from({length: 300}, (_, index) =>
    bench.sessions.drawFor(
      makeArrived([], {
        prompt: makeLongPrompt(`x-${index}`, {
          parts: [
            {id: brandAs<PromptPartId>(`x-${index}`), tokens: 10},
            {id: brandAs<PromptPartId>('own'), tokens: 10},
          ],
        }),
      }),
    ),
  );
  const below = draws.filter(draw => draw < 0.5).length;
  t.true(below > 120 && below < 180);
});

test('accounts are counted up to a bound', t => {
  // Guards against state that grows with each change of the accounts.
  const tokens = new AccountTokens({maxAccounts: 10});
  for (let index = 0; index < 100; index++)
    tokens.noteAsked(nameAccount(index), 1000, NOW_MS);
  t.is(tokens.size, 10);
});
