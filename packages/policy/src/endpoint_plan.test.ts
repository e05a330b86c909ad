import type {
  EndpointKind,
  EndpointPool,
} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ModelId,
  type RegionId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import fc from 'fast-check';
import {planEndpoints} from './endpoint_plan.js';
import {endpointsWithoutNewWork} from './endpoint_plan_drain.js';
import type {
  DemandLine,
  EndpointPlan,
  ObservedEndpoint,
  PlanInput,
  PlannedDataCentre,
} from './endpoint_plan_input.js';

const SEED = 20_261_202;
const MINUTE_MS = 60_000;
const MODEL = brandAs<ModelId>('report');
const PER_ENDPOINT = 7;
const DATE = 1_800_000_000_000;

function centre(id: string, leaveByEpochMs?: number): PlannedDataCentre {
  const region = brandAs<RegionId>('sul-br');
  const dataCentre = brandAs<DataCentreId>(id);
  return {id: dataCentre, region, leaveByEpochMs, reachable: true};
}

function pool(id: string, changes: Partial<EndpointPool> = {}): EndpointPool {
  return {
    id: `${id}/${MODEL}`,
    dataCentre: brandAs<DataCentreId>(id),
    model: MODEL,
    minRegular: 1,
    maxRegular: 20,
    maxCheap: 20,
    maxConcurrencyPerEndpoint: 10,
    regularPricePerHour: 4,
    cheapPricePerHour: 1,
    enginesCheckFencing: true,
    ...changes,
  };
}

function demand(id: string, strict: number, flexible: number): DemandLine[] {
  const dataCentre = brandAs<DataCentreId>(id);
  const line = {dataCentre, model: MODEL};
  return [
    {...line, tier: 0, cheapAllowed: true, concurrency: strict / 2},
    {...line, tier: 1, cheapAllowed: false, concurrency: strict / 2},
    {...line, tier: 2, cheapAllowed: true, concurrency: flexible},
  ];
}

function endpoint(
  dataCentre: string,
  kind: EndpointKind,
  number: number,
  changes: Partial<ObservedEndpoint> = {},
): ObservedEndpoint {
  return {
    id: brandAs<EndpointId>(`${dataCentre}-${kind}-${number}`),
    dataCentre: brandAs<DataCentreId>(dataCentre),
    model: MODEL,
    kind,
    state: 'live',
    running: 0,
    ...changes,
  };
}

function input(changes: Partial<PlanInput> = {}): PlanInput {
  return {
    nowEpochMs: DATE,
    dataCentres: [centre('poa-a'), centre('poa-b'), centre('floripa-c')],
    pools: [pool('poa-a'), pool('poa-b'), pool('floripa-c')],
    demand: [],
    endpoints: [],
    ...changes,
  };
}

/** Targets by data centre: `{'poa-a': [regular, cheap]}`. */
function countsOf({targets}: EndpointPlan) {
  const counts: Record<string, number[]> = {};
  for (const {dataCentre, kind, targetCount} of targets) {
    counts[dataCentre] ??= [0, 0];
    counts[dataCentre][kind === 'regular' ? 0 : 1] = targetCount;
  }
  return counts;
}

test('strict work gets regular endpoints, the rest spread-out cheap ones', t => {
  const plan = planEndpoints(input({demand: demand('poa-a', 21, 21)}));
  t.deepEqual(countsOf(plan), {
    'poa-a': [3, 1],
    'poa-b': [1, 1],
    'floripa-c': [1, 1],
  });
  t.deepEqual(plan.shortfalls, []);
});

test('a single data centre holds at most half of the cheap work', t => {
  const plan = planEndpoints(
    input({
      dataCentres: [centre('poa-a')],
      pools: [pool('poa-a')],
      demand: demand('poa-a', 7, 28),
    }),
  );
  t.deepEqual(countsOf(plan), {'poa-a': [3, 2]});
});

test('cheap endpoints that are hardly cheaper are not used', t => {
  const pools = [pool('poa-a', {cheapPricePerHour: 3.9})];
  const plan = planEndpoints(input({pools, demand: demand('poa-a', 0, 28)}));
  t.deepEqual(countsOf(plan), {'poa-a': [4, 0]});
});

test('learned concurrency takes precedence over the configured one', t => {
  const learned = new Map([['poa-a/report', 5]]);
  const plan = planEndpoints(
    input({
      pools: [pool('poa-a')],
      demand: demand('poa-a', 7, 0),
      concurrencyWithinTargets: learned,
    }),
  );
  t.deepEqual(countsOf(plan), {'poa-a': [2, 0]});
});

// A data centre is cut off or destroyed. Its callers go to the others, which
// must have endpoints for them before requests queued in the first minutes time
// out.
test('the work of an unreachable data centre goes to the others', t => {
  const gone = {...centre('poa-a'), reachable: false};
  const plan = planEndpoints(
    input({
      dataCentres: [gone, centre('poa-b'), centre('floripa-c')],
      demand: demand('poa-a', 28, 0),
    }),
  );
  t.deepEqual(countsOf(plan), {'poa-b': [2, 0], 'floripa-c': [2, 0]});
});

test('demand beyond the limits of the pools is reported', t => {
  const pools = [
    pool('poa-a', {maxRegular: 2}),
    pool('poa-b', {maxRegular: 1}),
  ];
  const over = planEndpoints(input({pools, demand: demand('poa-a', 28, 0)}));
  t.deepEqual(countsOf(over), {'poa-a': [2, 0], 'poa-b': [1, 0]});
  t.like(over.shortfalls[0], {reason: 'pool_limit', missing: 1});
  const none = planEndpoints(input({pools: [], demand: demand('poa-a', 7, 0)}));
  t.like(none.shortfalls[0], {reason: 'no_data_centre'});
});

// The platform has no cheap endpoints for hours. Work planned for them would
// wait for endpoints that never start.
test('regular endpoints replace missing cheap ones, which are retried', t => {
  const asked = input({pools: [pool('poa-a')], demand: demand('poa-a', 0, 14)});
  let plan = planEndpoints(asked);
  t.deepEqual(countsOf(plan), {'poa-a': [1, 1]});
  const at = (minutes: number) =>
    planEndpoints({
      ...asked,
      nowEpochMs: DATE + minutes * MINUTE_MS,
      memory: plan.memory,
    });
  plan = at(1);
  t.deepEqual(countsOf(plan), {'poa-a': [1, 1]});
  plan = at(4);
  t.deepEqual(countsOf(plan), {'poa-a': [1, 0]});
  plan = at(4.5);
  t.deepEqual(countsOf(plan), {'poa-a': [2, 0]});
  plan = at(13.9);
  t.deepEqual(countsOf(plan), {'poa-a': [2, 0]});
  plan = at(14);
  plan = at(14.5);
  t.deepEqual(countsOf(plan), {'poa-a': [2, 1]});
});

/** Regular endpoints planned as the demand changes, `[minutes, strict]`. */
function planOver(...steps: ReadonlyArray<readonly [number, number]>) {
  let plan: EndpointPlan | undefined;
  return steps.map(([minutes, strict]) => {
    plan = planEndpoints(
      input({
        pools: [pool('poa-a')],
        demand: demand('poa-a', strict, 0),
        nowEpochMs: DATE + minutes * MINUTE_MS,
        memory: plan?.memory,
      }),
    );
    return countsOf(plan)['poa-a'][0];
  });
}

test('a short lull gives up nothing, a long one all but its highest need', t => {
  const counts = planOver([0, 35], [1, 7], [6, 21], [10, 7], [11, 7]);
  t.deepEqual(counts, [5, 5, 5, 5, 3]);
});

// Demand is measured at single moments. If each peak were ordered at once,
// endpoints with work for seconds would be paid for minutes.
test('a peak orders nothing, a lasting rise what it needs throughout', t => {
  t.deepEqual(planOver([0, 7], [1, 70], [1.2, 7], [1.6, 70]), [1, 1, 1, 1]);
  t.deepEqual(planOver([0, 7], [1, 70], [1.2, 28], [1.5, 35]), [1, 1, 1, 4]);
});

// A drained endpoint looks idle, but another instance does not know of the
// drain yet and sends it a request, which would be cut if the endpoint were
// given up.
test('surplus endpoints drain first and are released once idle and settled', t => {
  const endpoints = [0, 1, 2, 3].map(number =>
    endpoint('poa-a', 'regular', number, {running: number}),
  );
  const leaving = endpoint('poa-a', 'cheap', 9, {state: 'leaving'});
  const world = input({
    pools: [pool('poa-a')],
    endpoints: [...endpoints, leaving],
    memory: {
      pools: {'poa-a/report': {regular: {count: 2}}},
      draining: [],
      drainedSinceEpochMs: {},
    },
    demand: demand('poa-a', 14, 0),
  });
  const plan = planEndpoints(world);
  t.like(plan.targets[0], {
    drain: [endpoints[0].id, endpoints[1].id],
    release: [],
    targetCount: 4,
  });
  t.deepEqual(
    [...endpointsWithoutNewWork(world.endpoints, plan.targets)],
    [leaving.id, endpoints[0].id, endpoints[1].id],
  );
  // Others have fewer requests running by then; the drained ones stay drained.
  const later = planEndpoints({
    ...world,
    endpoints: endpoints.map((each, index) => ({
      ...each,
      running: [0, 1, 0, 0][index],
    })),
    nowEpochMs: DATE + 15_000,
    memory: plan.memory,
  });
  t.like(later.targets[0], {
    drain: [endpoints[0].id, endpoints[1].id],
    release: [endpoints[0].id],
    targetCount: 3,
  });
});

/** The platform starts endpoints in 5 minutes; work takes 2 to finish. */
function simulate(changes: Partial<PlanInput>, minutes: number) {
  let endpoints = [0, 1, 2].flatMap(number =>
    ['poa-a', 'poa-b', 'floripa-c'].map(id => endpoint(id, 'regular', number)),
  );
  let plan: EndpointPlan | undefined;
  let next = 10;
  const startedAt = new Map<EndpointId, number>();
  const drainedAt = new Map<EndpointId, number>();
  const history: Array<{left: string[]; serving: Record<string, number>}> = [];
  for (let minute = 0; minute <= minutes; minute++) {
    endpoints = endpoints.map(each => {
      const since = minute - (startedAt.get(each.id) ?? -9);
      const draining = minute - (drainedAt.get(each.id) ?? minute);
      const state = since >= 5 ? ('live' as const) : ('starting' as const);
      return {
        ...each,
        state,
        running: state === 'live' && draining < 2 ? 3 : 0,
      };
    });
    plan = planEndpoints({
      ...input(changes),
      endpoints,
      nowEpochMs: DATE + minute * MINUTE_MS,
      memory: plan?.memory,
    });
    const drained = endpointsWithoutNewWork(endpoints, plan.targets);
    const serving: Record<string, number> = {};
    for (const {id, dataCentre, state} of endpoints) {
      if (state === 'live' && !drained.has(id)) {
        serving[dataCentre] = (serving[dataCentre] ?? 0) + 1;
      }
    }
    const left = plan.departures.filter(each => each.phase === 'left');
    history.push({left: left.map(each => each.dataCentre), serving});
    for (const id of drained) {
      if (!drainedAt.has(id)) drainedAt.set(id, minute);
    }
    const released = new Set(plan.targets.flatMap(target => target.release));
    endpoints = endpoints.filter(each => !released.has(each.id));
    for (const {dataCentre, kind, targetCount} of plan.targets) {
      const have = endpoints.filter(
        each => each.dataCentre === dataCentre && each.kind === kind,
      ).length;
      for (let count = have; count < targetCount; count++) {
        const added = endpoint(dataCentre, kind, next++, {state: 'starting'});
        startedAt.set(added.id, minute);
        endpoints.push(added);
      }
    }
  }
  return history;
}

// Two data centres must be left by the same date. If both drained at once, or
// before their replacements serve, callers would meanwhile find no endpoint.
test('data centres leave one after the other, replaced before they drain', t => {
  const leaveBy = DATE + 90 * MINUTE_MS;
  const history = simulate(
    {
      dataCentres: [
        centre('poa-a', leaveBy),
        centre('poa-b', leaveBy),
        centre('floripa-c'),
      ],
      demand: ['poa-a', 'poa-b', 'floripa-c'].flatMap(id => demand(id, 21, 0)),
    },
    90,
  );
  for (const {serving, left} of history) {
    const total = Object.values(serving).reduce((sum, each) => sum + each, 0);
    t.true(total * PER_ENDPOINT >= 63, JSON.stringify(serving));
    t.true(serving['poa-b'] >= 3 || left.includes('poa-a'));
  }
  const leftAt = (id: string) => history.findIndex(h => h.left.includes(id));
  t.true(leftAt('poa-a') > 0 && leftAt('poa-a') < leftAt('poa-b'));
  t.true(leftAt('poa-b') < 90);
  t.deepEqual(history.at(-1)?.serving, {'floripa-c': 9});
});

// The others can't get enough endpoints by the date. The data centre must be
// left regardless, and operators must be warned before.
test('a departure without replacement is reported and drains in time', t => {
  const leaveBy = DATE + 15 * MINUTE_MS;
  const world = {
    dataCentres: [centre('poa-a', leaveBy), centre('poa-b')],
    pools: [pool('poa-a'), pool('poa-b', {maxRegular: 2, maxCheap: 0})],
    demand: demand('poa-a', 28, 0),
    endpoints: [
      endpoint('poa-a', 'regular', 1),
      endpoint('poa-b', 'regular', 1),
    ],
  };
  const early = planEndpoints(input(world));
  t.deepEqual(
    early.departures.map(each => each.phase),
    ['preparing'],
  );
  t.like(early.shortfalls[0], {reason: 'pool_limit', missing: 2});
  t.deepEqual(countsOf(early)['poa-a'], [1, 0]);
  const late = planEndpoints(
    input({...world, nowEpochMs: DATE + 5 * MINUTE_MS}),
  );
  t.deepEqual(
    late.departures.map(each => each.phase),
    ['draining'],
  );
  t.true(late.shortfalls.some(each => each.reason === 'not_ready_in_time'));
});

const anyDemand = fc.integer({min: 0, max: 120});
const anyLimit = fc.integer({min: 0, max: 12});

test('the top tiers never depend on cheap endpoints, for any input', t => {
  const anyCentre = fc.record({
    strict: anyDemand,
    flexible: anyDemand,
    maxRegular: anyLimit,
    maxCheap: anyLimit,
    cheapPricePerHour: fc.integer({min: 1, max: 5}),
    reachable: fc.boolean(),
    running: fc.array(fc.integer({min: 0, max: 2}), {maxLength: 6}),
    leavesInMinutes: fc.option(fc.integer({min: -5, max: 120}), {
      nil: undefined,
    }),
  });
  const property = fc.property(
    fc.array(anyCentre, {minLength: 1, maxLength: 4}),
    centres => {
      const ids = centres.map((_, index) => `dc-${index}`);
      const world = input({
        options: {scaleUpAfterMs: 0},
        dataCentres: centres.map(({reachable, leavesInMinutes}, index) => ({
          ...centre(
            ids[index],
            leavesInMinutes && DATE + leavesInMinutes * MINUTE_MS,
          ),
          reachable,
        })),
        pools: centres.map(({maxRegular, maxCheap, cheapPricePerHour}, index) =>
          pool(ids[index], {
            minRegular: 0,
            maxRegular,
            maxCheap,
            cheapPricePerHour,
          }),
        ),
        demand: centres.flatMap(({strict, flexible}, index) =>
          demand(ids[index], strict, flexible),
        ),
        endpoints: centres.flatMap(({running}, index) =>
          running.map((count, number) =>
            endpoint(ids[index], 'regular', number, {running: count}),
          ),
        ),
      });
      checkPlan(world, planEndpoints(world));
    },
  );
  t.notThrows(() => fc.assert(property, {seed: SEED, numRuns: 500}));
});

function checkPlan(world: PlanInput, plan: EndpointPlan): void {
  const leaving = plan.departures.map(each => each.dataCentre as string);
  const isLost = plan.shortfalls.some(
    each => each.reason !== 'not_ready_in_time',
  );
  const strict = world.demand
    .filter(line => !line.cheapAllowed || line.tier === 0)
    .reduce((sum, line) => sum + line.concurrency, 0);
  const regular = plan.targets
    .filter(
      each => each.kind === 'regular' && !leaving.includes(each.dataCentre),
    )
    .reduce((sum, each) => sum + each.targetCount, 0);
  if (!isLost && regular * PER_ENDPOINT < strict - 1e-6) {
    throw new Error('too few regular endpoints for the strict work');
  }
  const flexible = world.demand
    .filter(line => line.cheapAllowed && line.tier > 0)
    .reduce((sum, line) => sum + line.concurrency, 0);
  for (const target of plan.targets) {
    const {dataCentre, kind, targetCount, drain, release} = target;
    const most = Math.max(1, (flexible * 0.5) / PER_ENDPOINT);
    if (kind === 'cheap' && targetCount > most + 1e-6) {
      throw new Error(`too many cheap endpoints in ${dataCentre}`);
    }
    const there = world.endpoints.filter(
      each => each.dataCentre === dataCentre && each.kind === kind,
    );
    const busy = there.filter(each => each.running > 0);
    if (busy.some(each => release.includes(each.id))) {
      throw new Error('released an endpoint with running requests');
    }
    if (drain.length > 0 && targetCount < there.length - release.length) {
      throw new Error('target count would remove an unreleased endpoint');
    }
  }
}
