import test from 'ava';
import {assembleArrivals} from './arrivals.js';
import {assembleFigures} from './figures.js';
import type {Outcome} from './load.js';
import type {Scenario} from './scenario.js';
import {SCENARIOS} from './scenarios.js';
import {checkUsage} from './usage_check.js';

const SCENARIO = SCENARIOS.get('burst') as Scenario;

function outcomeOf(overrides: Partial<Outcome> = {}): Outcome {
  return {
    arrival: assembleArrivals(SCENARIO)[0],
    firstTokenMs: 50,
    betweenTokensMs: 30,
    totalMs: 500,
    tokens: 10,
    isComplete: true,
    isWrong: false,
    status: 200,
    requestId: 'r-1',
    refusal: undefined,
    verdict: undefined,
    failure: undefined,
    ...overrides,
  };
}

function figuresOf(outcomes: readonly Outcome[], scenario = SCENARIO) {
  return assembleFigures({
    scenario,
    outcomes,
    serviceOutcomes: [],
    serviceRecords: [{call: 'a'}, {call: 'a'}],
    engines: {
      tokensProduced: 100,
      wastedTokens: 5,
      tokensLostInCrashes: 0,
      cheapTokens: 25,
      crashes: 0,
      spend: 1,
      requestIds: new Set(['r-1']),
    },
    usage: checkUsage([], outcomes),
  });
}

test('arrivals are reproducible, sorted by time and include the burst', t => {
  const arrivals = assembleArrivals(SCENARIO);
  t.deepEqual(arrivals, assembleArrivals(SCENARIO));
  const times = arrivals.map(({atMs}) => atMs);
  t.deepEqual(
    times,
    [...times].sort((left, right) => left - right),
  );
  const summaries = arrivals.filter(each => each.requestClass === 'summary');
  const during = summaries.filter(
    ({atMs}) => 10_000 <= atMs && atMs < 20_000,
  ).length;
  t.true(during > 10 * (summaries.length - during) * 0.5);
});

test('a refused request counts against every target', t => {
  const refused = outcomeOf({
    firstTokenMs: undefined,
    betweenTokensMs: undefined,
    isComplete: false,
    tokens: 0,
    refusal: 'overloaded',
    verdict: 'not_run',
  });
  const figures = figuresOf([outcomeOf(), refused]);
  const {requestClass} = refused.arrival;
  t.like(figures.classes[requestClass], {
    requests: 2,
    all: 0.5,
    firstToken: 0.5,
    betweenTokens: 0.5,
    deadline: 0.5,
  });
  t.is(figures.untrueNotRun, 1);
  t.is(figures.wastedShare, 0.05);
  t.is(figures.service.doubled, 1);
});

test('an account that floods is never the worst-served account', t => {
  const flood = SCENARIOS.get('flood') as Scenario;
  const [arrival] = assembleArrivals(flood);
  const served = ['harbour', 'alpine'].map(account =>
    outcomeOf({arrival: {...arrival, account}}),
  );
  const missed = (account: string) =>
    outcomeOf({arrival: {...arrival, account}, isComplete: false});
  const worst = (outcomes: readonly Outcome[]) =>
    figuresOf(outcomes, flood).worstAccountOverMedian;
  t.is(worst([...served, missed('central')]), 1);
  t.is(worst([...served, missed('hut-1')]), 0);
});

test('counts accounts without reported usage and contradicted windows', t => {
  const {account} = outcomeOf().arrival;
  const line = {
    clientAccount: account,
    requestClass: 'quote',
    requests: 1,
    promptTokens: 1,
    outputTokens: 10,
  };
  const report = (status: number, outputTokens: number) => ({
    status,
    content: {
      window: 'w1',
      startEpochMs: 0,
      endEpochMs: 1,
      lines: [{...line, outputTokens}],
    } as never,
  });
  t.is(checkUsage([], [outcomeOf()]).accountsBilledTooLittle, 1);
  const check = checkUsage([report(200, 10), report(409, 11)], [outcomeOf()]);
  t.like(check, {
    windowsReported: 1,
    windowsContradicted: 1,
    accountsBilledTooLittle: 0,
    reportedTokens: 10,
  });
});
