/** The scenarios that can be measured, by name. */

import type {FaultMode} from '../http/faults.js';
import type {
  AccountShare,
  EngineFleet,
  Phase,
  RateChange,
  RequestStream,
  Scenario,
  ScenarioAction,
  ScenarioClass,
  ScenarioEvent,
} from './scenario.js';

const DURATION_MS = 30_000;
const DISTURBANCE_FROM_MS = 10_000;
const DISTURBANCE_TO_MS = 20_000;
const SEED = 20_261_202;

const PHASES: readonly Phase[] = [
  {name: 'before', fromMs: 0, toMs: DISTURBANCE_FROM_MS},
  {name: 'during', fromMs: DISTURBANCE_FROM_MS, toMs: DISTURBANCE_TO_MS},
  {name: 'after', fromMs: DISTURBANCE_TO_MS, toMs: DURATION_MS},
];

/** Events that begin a fault in the middle of the run and end it again. */
function duringDisturbance(
  begin: ScenarioAction,
  end: ScenarioAction,
): ScenarioEvent[] {
  return [
    {atMs: DISTURBANCE_FROM_MS, action: begin},
    {atMs: DISTURBANCE_TO_MS, action: end},
  ];
}

function platformFault(mode: FaultMode): ScenarioAction {
  return {kind: 'control_platform', command: {faults: {'*': {mode}}}};
}

/** Each engine produces about 300 tokens per second when full. */
const ENGINES: EngineFleet = {
  regularPerDataCentre: 2,
  cheapPerDataCentre: 1,
  maxConcurrency: 16,
  options: {
    seed: SEED,
    loadLagMs: 1000,
    batch: {
      maxBatch: 16,
      betweenTokensMs: 25,
      betweenTokensPerRunningMs: 1.5,
      prefillPerTokenMs: 0.1,
    },
    prefixCache: {capacityBlocks: 400, eventLagMs: 500, eventGapEvery: 20},
  },
};

const KOWHAI_CLASSES: Readonly<Record<string, ScenarioClass>> = {
  counter: {
    tier: 0,
    firstTokenTargetMs: 500,
    betweenTokensTargetMs: 70,
    deadlineMs: 10_000,
    guaranteedShare: 0,
    cheapEndpointsAllowed: false,
  },
  quote: {
    tier: 1,
    firstTokenTargetMs: 1000,
    betweenTokensTargetMs: 80,
    deadlineMs: 20_000,
    guaranteedShare: 0.05,
    cheapEndpointsAllowed: false,
  },
  summary: {
    tier: 2,
    firstTokenTargetMs: 4000,
    betweenTokensTargetMs: 150,
    deadlineMs: 30_000,
    guaranteedShare: 0.05,
    cheapEndpointsAllowed: true,
  },
};

/** A few large accounts and many small ones. */
const KOWHAI_ACCOUNTS: readonly AccountShare[] = [
  {account: 'central', weight: 30},
  {account: 'harbour', weight: 20},
  {account: 'alpine', weight: 15},
  ...[1, 2, 3, 4, 5, 6, 7].map(number => ({
    account: `hut-${number}`,
    weight: 5,
  })),
];

const KOWHAI_STREAMS: readonly RequestStream[] = [
  {
    requestClass: 'counter',
    ratePerSecond: 20,
    accounts: KOWHAI_ACCOUNTS,
    meanOutputTokens: 16,
    sharedWords: 96,
  },
  {
    requestClass: 'quote',
    ratePerSecond: 15,
    accounts: KOWHAI_ACCOUNTS,
    meanOutputTokens: 32,
    sharedWords: 160,
  },
  {
    requestClass: 'summary',
    ratePerSecond: 10,
    accounts: KOWHAI_ACCOUNTS,
    meanOutputTokens: 48,
    sharedWords: 320,
  },
];

const KOWHAI_DAY: Scenario = {
  name: 'kowhai_day',
  about: 'An ordinary day of the repair desks, with bookings',
  seed: SEED,
  durationMs: DURATION_MS,
  dataCentres: ['akl-a', 'akl-b', 'akl-c'],
  entriesPerDataCentre: 2,
  model: 'repair',
  classes: KOWHAI_CLASSES,
  engines: ENGINES,
  streams: KOWHAI_STREAMS,
  service: {ratePerSecond: 4, account: 'central'},
};

const TRILHA_ACCOUNTS: readonly AccountShare[] = [
  {account: 'litoral', weight: 30},
  {account: 'serra', weight: 25},
  ...['norte', 'sul', 'oeste', 'estado'].map(account => ({account, weight: 8})),
];

const TRILHA_DAY: Scenario = {
  ...KOWHAI_DAY,
  name: 'trilha_day',
  about: 'An ordinary day of the road inspections, with work orders',
  dataCentres: ['poa-a', 'poa-b', 'floripa-c'],
  model: 'report',
  classes: {
    report: {...KOWHAI_CLASSES.quote, tier: 0, guaranteedShare: 0},
    segment: {...KOWHAI_CLASSES.summary, tier: 1},
    tag: {...KOWHAI_CLASSES.summary, tier: 2, firstTokenTargetMs: 6000},
  },
  streams: [
    {
      requestClass: 'report',
      ratePerSecond: 8,
      accounts: TRILHA_ACCOUNTS,
      meanOutputTokens: 64,
      sharedWords: 480,
    },
    {
      requestClass: 'segment',
      ratePerSecond: 6,
      accounts: TRILHA_ACCOUNTS,
      meanOutputTokens: 48,
      sharedWords: 320,
    },
    {
      requestClass: 'tag',
      ratePerSecond: 40,
      accounts: TRILHA_ACCOUNTS,
      meanOutputTokens: 6,
      sharedWords: 32,
    },
  ],
  service: {ratePerSecond: 2, account: 'litoral'},
};

/** Changes the rate of one class in the middle of the run. */
function withRateChange(
  requestClass: string,
  change: Pick<RateChange, 'factor' | 'account'>,
): RequestStream[] {
  const rateChange = {
    fromMs: DISTURBANCE_FROM_MS,
    toMs: DISTURBANCE_TO_MS,
    ...change,
  };
  return KOWHAI_STREAMS.map(stream =>
    stream.requestClass === requestClass
      ? {...stream, rateChanges: [rateChange]}
      : stream,
  );
}

/** Summaries alone demand about three times the capacity of all engines. */
const BURST: Scenario = {
  ...KOWHAI_DAY,
  name: 'burst',
  about: 'Summaries rise to three times the capacity for ten seconds',
  phases: PHASES,
  streams: withRateChange('summary', {factor: 17}),
};

const FLOOD: Scenario = {
  ...KOWHAI_DAY,
  name: 'flood',
  about: 'One large account sends fifteen times its usual quotes',
  phases: PHASES,
  streams: withRateChange('quote', {factor: 15, account: 'central'}),
};

const SLOW_ENGINES: Scenario = {
  ...KOWHAI_DAY,
  name: 'slow_engines',
  about: 'Engines of one data centre become six times slower, load reports lag',
  phases: PHASES,
  events: duringDisturbance(
    {
      kind: 'control_engines',
      dataCentre: 'akl-a',
      command: {slowFactor: 6, loadLagMs: 5000},
    },
    {
      kind: 'control_engines',
      dataCentre: 'akl-a',
      command: {slowFactor: 1},
    },
  ),
};

const DATA_CENTRE_LOST: Scenario = {
  ...KOWHAI_DAY,
  name: 'data_centre_lost',
  about: 'A data centre is lost with its engines and entry instances',
  phases: PHASES,
  events: [
    {
      atMs: DISTURBANCE_FROM_MS,
      action: {kind: 'lose_data_centre', dataCentre: 'akl-c'},
    },
  ],
};

const CHEAP_RECLAIMED: Scenario = {
  ...KOWHAI_DAY,
  name: 'cheap_reclaimed',
  about: 'All cheap endpoints of a data centre are reclaimed at once',
  engines: {...ENGINES, regularPerDataCentre: 1, cheapPerDataCentre: 2},
  phases: PHASES,
  events: [
    {
      atMs: DISTURBANCE_FROM_MS,
      action: {kind: 'reclaim_cheap', dataCentre: 'akl-b'},
    },
  ],
};

const OWNER_FROZEN: Scenario = {
  ...KOWHAI_DAY,
  name: 'owner_frozen',
  about: 'An entry instance that owns cells is paused for ten seconds',
  phases: PHASES,
  events: duringDisturbance({kind: 'freeze_owner'}, {kind: 'thaw_owner'}),
};

const POISON: Scenario = {
  ...KOWHAI_DAY,
  name: 'poison',
  about: 'One request crashes each engine that runs it and is sent again',
  streams: [
    ...KOWHAI_STREAMS,
    {
      requestClass: 'quote',
      ratePerSecond: 2,
      accounts: [{account: 'alpine', weight: 1}],
      meanOutputTokens: 24,
      sharedWords: 16,
      isPoison: true,
    },
  ],
};

const PLATFORM_AWAY: Scenario = {
  ...KOWHAI_DAY,
  name: 'platform_away',
  about: 'The platform resets every connection for ten seconds',
  phases: PHASES,
  events: duringDisturbance(platformFault('down'), platformFault('ok')),
};

export const SCENARIOS: ReadonlyMap<string, Scenario> = new Map(
  [
    KOWHAI_DAY,
    TRILHA_DAY,
    BURST,
    FLOOD,
    SLOW_ENGINES,
    DATA_CENTRE_LOST,
    CHEAP_RECLAIMED,
    OWNER_FROZEN,
    POISON,
    PLATFORM_AWAY,
  ].map(scenario => [scenario.name, scenario]),
);
