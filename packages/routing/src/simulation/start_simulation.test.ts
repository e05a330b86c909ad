import test from 'ava';
import {
  StartSimulation,
  type SentRequest,
  type StartPattern,
} from './start_simulation.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const BURST = {longPerS: 2, mediumPerS: 2};
const CALM = {longPerS: 1, mediumPerS: 1};

interface Measured {
  /** Requests a second at a started engine, by second since its start. */
  readonly sentPerS: readonly number[];
  /** Time to the first event of requests sent to it within four seconds. */
  readonly waitMs: number;
  /** The same at the other engines. */
  readonly otherWaitMs: number;
  /** Mean share of the started engines, each 100 ms since their start. */
  readonly shares: readonly number[];
}

/** Measures a pattern over all seeds; waits are 90th percentiles. */
function measure(pattern: StartPattern, isPaced: boolean): Measured {
  const outcomes = SEEDS.map(seed =>
    new StartSimulation(pattern, isPaced, seed).play(),
  );
  const sent = outcomes.flatMap(outcome => outcome.sent);
  const engines = pattern.started * SEEDS.length;
  const sentPerS = Array.from(
    {length: 8},
    (_, second) => countIn(sent, second * 1000, (second + 1) * 1000) / engines,
  );
  const shares = outcomes[0].shares.map(
    (_, index) =>
      outcomes.reduce((sum, outcome) => sum + outcome.shares[index], 0) /
      outcomes.length,
  );
  return {
    sentPerS,
    shares,
    waitMs: waitOf(sent, true),
    otherWaitMs: waitOf(sent, false),
  };
}

function countIn(
  sent: readonly SentRequest[],
  fromMs: number,
  untilMs: number,
): number {
  return sent.filter(
    ({isStarted, afterMs}) =>
      isStarted && afterMs >= fromMs && afterMs < untilMs,
  ).length;
}

function waitOf(sent: readonly SentRequest[], ofStarted: boolean): number {
  const waits = sent
    .filter(
      ({isStarted, afterMs}) =>
        isStarted === ofStarted && afterMs >= 0 && afterMs < 4000,
    )
    .map(({waitMs}) => waitMs ?? Number.POSITIVE_INFINITY)
    .sort((one, other) => one - other);
  return waits[Math.floor(waits.length * 0.9)];
}

/** Mean of the share within a second after the start. */
function shareAfter({shares}: Measured, second: number): number {
  const within = shares.slice(second * 10, second * 10 + 10);
  return within.reduce((sum, share) => sum + share, 0) / within.length;
}

test('load pattern: an engine starts with an empty cache in a burst', t => {
  // Guards against a new engine that is flooded: all instances see it idle, and
  // their fill gives it most requests until they know its next load. Its
  // callers would wait for the long prompts in front of theirs.
  const pattern = {settled: 20, started: 1, ...BURST};
  const before = measure(pattern, false);
  const paced = measure(pattern, true);
  t.true(before.sentPerS[0] > 6, `${before.sentPerS[0]}`);
  t.true(paced.sentPerS[0] < 3, `${paced.sentPerS[0]}`);
  t.true(paced.waitMs < before.waitMs * 0.75, `${paced.waitMs}`);
  t.true(paced.waitMs < paced.otherWaitMs * 1.1, `${paced.otherWaitMs}`);
  t.true(paced.otherWaitMs < before.otherWaitMs * 1.15);
});

test('load pattern: an engine that starts in a burst is not left idle', t => {
  // Guards against a new engine that holds still while its peers are at half of
  // their limit: each of those is sent four requests a second.
  const paced = measure({settled: 20, started: 1, ...BURST}, true);
  for (const sentPerS of paced.sentPerS.slice(0, 3)) t.true(sentPerS >= 1);
  for (const sentPerS of paced.sentPerS.slice(3)) t.true(sentPerS >= 2.5);
  t.is(shareAfter(paced, 4), 1);
});

test('load pattern: ten engines start at once in a burst', t => {
  // Guards against engines that count as equals of each other while all of them
  // are flooded, and against settled ones that have to bear too much meanwhile.
  const pattern = {settled: 30, started: 10, ...BURST};
  const before = measure(pattern, false);
  const paced = measure(pattern, true);
  t.true(paced.sentPerS[0] < before.sentPerS[0] / 2);
  t.true(paced.waitMs < before.waitMs * 0.8, `${paced.waitMs}`);
  t.true(paced.otherWaitMs < before.otherWaitMs * 1.25);
  t.true(paced.sentPerS[3] >= 2);
  t.true(shareAfter(paced, 4) > 0.99);
});

test('load pattern: an engine starts while work takes longer at all of them', t => {
  // Guards against comparing absolute times: the new engine would be held back
  // for what happens to its peers as well.
  const pattern = {settled: 20, started: 1, ...CALM};
  const paced = measure({...pattern, slowness: 2.5}, true);
  const usual = measure(pattern, true);
  for (const second of [1, 2, 3]) {
    const share = shareAfter(paced, second);
    t.true(share > shareAfter(usual, second) - 0.1, `${second}: ${share}`);
  }
  t.is(shareAfter(paced, 4), 1);
});

test('load pattern: an engine starts that is slow for good', t => {
  // Guards against a ramp without an end: that the engine is slow is learned by
  // its rate, and it is needed at its own speed.
  const pattern = {settled: 20, started: 1, ...CALM, startedSlowness: 6};
  const before = measure(pattern, false);
  const paced = measure(pattern, true);
  t.true(paced.waitMs < before.waitMs / 2, `${paced.waitMs}`);
  t.true(shareAfter(paced, 2) < 0.6);
  t.true(shareAfter(paced, 6) > 0.9);
});

test('load pattern: an engine recovers after four seconds without connections', t => {
  // Guards against an engine that is left idle after an outage, and against one
  // that all instances send their requests at once.
  const pattern = {settled: 20, started: 1, ...BURST, isRecovery: true};
  const before = measure(pattern, false);
  const paced = measure(pattern, true);
  t.true(before.sentPerS[0] > 4, `${before.sentPerS[0]}`);
  t.true(paced.sentPerS[0] < 2, `${paced.sentPerS[0]}`);
  t.true(paced.waitMs < before.waitMs * 0.75, `${paced.waitMs}`);
  for (const sentPerS of paced.sentPerS) t.true(sentPerS >= 0.5);
  for (const sentPerS of paced.sentPerS.slice(4)) t.true(sentPerS >= 2.5);
  t.true(shareAfter(paced, 5) > 0.85);
});
