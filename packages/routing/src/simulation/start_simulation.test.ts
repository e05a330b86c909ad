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

for (const [name, pattern] of Object.entries<StartPattern>({
  burst: {settled: 20, started: 1, ...BURST},
  ten: {settled: 30, started: 10, ...BURST},
  calm: {settled: 20, started: 1, ...CALM},
  slow: {settled: 20, started: 1, ...CALM, startedSlowness: 2.5},
  'slow 5': {settled: 20, started: 1, ...CALM, startedSlowness: 6},
  together: {settled: 20, started: 1, ...CALM, slowness: 2.5},
  recovery: {settled: 20, started: 1, ...BURST, isRecovery: true},
})) {
  test(name, t => {
    for (const on of [false, true]) {
      const m = measure(pattern, on);
      t.log(
        on,
        m.sentPerS.map(x => x.toFixed(1)).join(' '),
        'wait',
        Math.round(m.waitMs),
        'others',
        Math.round(m.otherWaitMs),
        'shares',
        m.shares
          .filter((_, i) => i % 5 === 0)
          .map(x => x.toFixed(2))
          .join(' '),
      );
    }
    t.pass();
  });
}
