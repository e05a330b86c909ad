/** Workloads for the simulation of a cell. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import {makeClass} from '../test_fixtures.js';
import type {WatchedAccounts} from './attainment.js';
import type {SimulatedEvent} from './cell_simulation.js';
import type {TrafficSource} from './workload.js';

/** A workload and the events during it. */
export interface Scenario {
  readonly name: string;
  readonly sources: readonly TrafficSource[];
  readonly events?: readonly SimulatedEvent[];
  readonly watched: WatchedAccounts;
}

const TOP_CLASS = makeClass(0, {
  firstTokenTargetMs: 1000,
  betweenTokensTargetMs: 50,
  guaranteedShare: 0.05,
});
const MIDDLE_CLASS = makeClass(1, {
  firstTokenTargetMs: 3000,
  betweenTokensTargetMs: 60,
  guaranteedShare: 0.05,
});
const LOW_CLASS = makeClass(2, {
  firstTokenTargetMs: 15_000,
  betweenTokensTargetMs: 200,
  deadlineMs: 60_000,
  guaranteedShare: 0.05,
});

/** Four engines serve about 10 such requests a second within their targets. */
const ORDINARY_TRAFFIC: readonly TrafficSource[] = [
  ...createAccountSources(TOP_CLASS, 3),
  ...createAccountSources(MIDDLE_CLASS, 3),
  ...createAccountSources(LOW_CLASS, 2),
];
const BURST = {factor: 10, fromMs: 20_000, untilMs: 40_000};
const FLOODING_ACCOUNT = 'account-1';
const FLOOD_PER_SECOND = 30;

const TOP_CLASS_ACCOUNTS: WatchedAccounts = {requestClass: TOP_CLASS.id};

/** All scenarios, by name. */
export const SCENARIOS: readonly Scenario[] = [
  {name: 'ordinary', sources: ORDINARY_TRAFFIC, watched: TOP_CLASS_ACCOUNTS},
  {
    name: 'burst_middle',
    sources: ORDINARY_TRAFFIC.map(source => burstIf(source, MIDDLE_CLASS)),
    watched: {requestClass: MIDDLE_CLASS.id},
  },
  {
    name: 'burst_low',
    sources: ORDINARY_TRAFFIC.map(source => burstIf(source, LOW_CLASS)),
    watched: {requestClass: LOW_CLASS.id},
  },
  {
    name: 'flood_top',
    sources: [...ORDINARY_TRAFFIC, flood(TOP_CLASS)],
    watched: {requestClass: TOP_CLASS.id, except: FLOODING_ACCOUNT},
  },
  {
    name: 'flood_low',
    sources: [...ORDINARY_TRAFFIC, flood(LOW_CLASS)],
    watched: {requestClass: LOW_CLASS.id, except: FLOODING_ACCOUNT},
  },
  {
    name: 'slow_engine',
    sources: ORDINARY_TRAFFIC,
    events: [
      {kind: 'slow', atMs: 15_000, endpoint: 'e2', factor: 5},
      {kind: 'slow', atMs: 45_000, endpoint: 'e2', factor: 1},
    ],
    watched: TOP_CLASS_ACCOUNTS,
  },
  {
    name: 'crashes',
    sources: ORDINARY_TRAFFIC,
    events: [20_000, 21_000, 22_000, 23_000, 24_000].map(atMs => ({
      kind: 'crash',
      atMs,
      endpoint: 'e3',
    })),
    watched: TOP_CLASS_ACCOUNTS,
  },
  {
    name: 'long_prompts',
    sources: ORDINARY_TRAFFIC.map(source => ({
      ...source,
      meanPromptTokens: 4000,
      sharedPrefixes: 20,
    })),
    watched: TOP_CLASS_ACCOUNTS,
  },
  ownerLost('owner_frozen', {kind: 'thaw_owner', atMs: 35_000}),
  ownerLost('owner_killed', {kind: 'replace_owner', atMs: 30_000}),
];

/** The owner freezes during a burst, until the event `then`. */
function ownerLost(name: string, then: SimulatedEvent): Scenario {
  const sources = ORDINARY_TRAFFIC.map(source => burstIf(source, MIDDLE_CLASS));
  const freeze: SimulatedEvent = {kind: 'freeze_owner', atMs: 25_000};
  return {name, sources, events: [freeze, then], watched: TOP_CLASS_ACCOUNTS};
}

/** Sources of five accounts in one class, with equal parts of the rate. */
function createAccountSources(
  requestClass: RequestClass,
  perSecond: number,
): TrafficSource[] {
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
    ...ORDINARY_TRAFFIC[0],
    requestClass,
    account: FLOODING_ACCOUNT,
    perSecond: FLOOD_PER_SECOND,
  };
}
