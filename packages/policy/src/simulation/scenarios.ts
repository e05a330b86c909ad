/** Workloads of the measurement of a cell. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import {makeClass} from '../test_fixtures.js';
import type {WatchedAccounts} from './attainment.js';
import type {SimulatedEvent} from './cell_simulation.js';
import type {TrafficSource} from './workload.js';

/** A workload and what happens meanwhile. */
export interface Scenario {
  readonly name: string;
  readonly sources: readonly TrafficSource[];
  readonly events?: readonly SimulatedEvent[];
  readonly watched: WatchedAccounts;
}

const COUNTER = makeClass(0, {
  firstTokenTargetMs: 1000,
  betweenTokensTargetMs: 50,
  guaranteedShare: 0.05,
});
const QUOTE = makeClass(1, {
  firstTokenTargetMs: 3000,
  betweenTokensTargetMs: 60,
  guaranteedShare: 0.05,
});
const SUMMARY = makeClass(2, {
  firstTokenTargetMs: 15_000,
  betweenTokensTargetMs: 200,
  deadlineMs: 60_000,
  guaranteedShare: 0.05,
});

/** Four engines do about 10 such requests a second within their targets. */
const ORDINARY: readonly TrafficSource[] = [
  ...shops(COUNTER, 3),
  ...shops(QUOTE, 3),
  ...shops(SUMMARY, 2),
];
const BURST = {factor: 10, fromMs: 20_000, untilMs: 40_000};
const LARGE_SHOP = 'account-1';
const FLOOD_PER_SECOND = 30;

const TOP: WatchedAccounts = {requestClass: COUNTER.id};

/** All scenarios, by name. */
export const SCENARIOS: readonly Scenario[] = [
  {name: 'ordinary', sources: ORDINARY, watched: TOP},
  {
    name: 'burst_middle',
    sources: ORDINARY.map(source => burstIf(source, QUOTE)),
    watched: {requestClass: QUOTE.id},
  },
  {
    name: 'burst_low',
    sources: ORDINARY.map(source => burstIf(source, SUMMARY)),
    watched: {requestClass: SUMMARY.id},
  },
  {
    name: 'flood_top',
    sources: [...ORDINARY, flood(COUNTER)],
    watched: {requestClass: COUNTER.id, except: LARGE_SHOP},
  },
  {
    name: 'flood_low',
    sources: [...ORDINARY, flood(SUMMARY)],
    watched: {requestClass: SUMMARY.id, except: LARGE_SHOP},
  },
  {
    name: 'slow_engine',
    sources: ORDINARY,
    events: [
      {kind: 'slow', atMs: 15_000, endpoint: 'e2', factor: 5},
      {kind: 'slow', atMs: 45_000, endpoint: 'e2', factor: 1},
    ],
    watched: TOP,
  },
  {
    name: 'crashes',
    sources: ORDINARY,
    events: [20_000, 21_000, 22_000, 23_000, 24_000].map(atMs => ({
      kind: 'crash',
      atMs,
      endpoint: 'e3',
    })),
    watched: TOP,
  },
  {
    name: 'long_prompts',
    sources: ORDINARY.map(source => ({
      ...source,
      meanPromptTokens: 4000,
      sharedPrefixes: 20,
    })),
    watched: TOP,
  },
  ownerLost('owner_frozen', {kind: 'thaw_owner', atMs: 35_000}),
  ownerLost('owner_killed', {kind: 'replace_owner', atMs: 30_000}),
];

/** The owner stands still from within a burst until something happens. */
function ownerLost(name: string, then: SimulatedEvent): Scenario {
  const sources = ORDINARY.map(source => burstIf(source, QUOTE));
  const freeze: SimulatedEvent = {kind: 'freeze_owner', atMs: 25_000};
  return {name, sources, events: [freeze, then], watched: TOP};
}

/** Accounts of one class, each with the same small rate. */
function shops(requestClass: RequestClass, perSecond: number): TrafficSource[] {
  const names = [1, 2, 3, 4, 5].map(number => `account-${number}`);
  return names.map(account => ({
    account,
    requestClass,
    perSecond: perSecond / names.length,
    meanPromptTokens: 400,
    meanOutputTokens: 150,
  }));
}

function burstIf(source: TrafficSource, bursting: RequestClass): TrafficSource {
  const bursts = source.requestClass === bursting;
  return bursts ? {...source, burst: BURST} : source;
}

function flood(requestClass: RequestClass): TrafficSource {
  return {
    ...ORDINARY[0],
    requestClass,
    account: LARGE_SHOP,
    perSecond: FLOOD_PER_SECOND,
  };
}
