import test from 'ava';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
} from '@snipestage/types/ids.js';
import {AttemptHistory} from './attempt_history.js';
import {decideAfterFailure} from './attempt_policy.js';
import {DataCentreReach} from './data_centre_reach.js';
import {DemandMeter} from './demand_meter.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {PromptPlacement} from './prompt_placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {
  AKL_A,
  COUNTER,
  makeEndpoint,
  makePrompt,
} from './test_support/fixtures.js';

const AKL_B = brandAs<DataCentreId>('akl-b');
const REFUSED = {
  verdict: 'not_run',
  hasArrived: false,
  hasTimedOut: false,
} as const;

function makeEndpoints(
  count: number,
  dataCentre: DataCentreId,
): ServingEndpoint[] {
  return Array.from({length: count}, (_, index) =>
    makeEndpoint(`${dataCentre}-${index}`, {dataCentre}),
  );
}

test('an endpoint that was asked in vain counts as an attempt', t => {
  // Guards against sending a request more often than its route allows.
  const [first, asked] = makeEndpoints(2, AKL_A);
  const limits = {maxAttempts: 2, inProgress: 1};
  const history = new AttemptHistory();
  history.begin(first);
  t.true(history.mayRunAgain(limits));
  history.begin(asked);
  history.withdraw('may_have_run');
  t.true(history.excluded.has(asked.id));
  t.false(history.mayRunAgain(limits));
  t.true(history.mayRunAgain({...limits, maxAttempts: 3}));
});

test('an endpoint that the request never reached leaves its attempt to others', t => {
  // Guards against attempts that are lost to connections that never opened.
  const history = new AttemptHistory();
  history.withdraw('not_run');
  t.true(history.mayRunAgain({maxAttempts: 2, inProgress: 1}));
});

test('an endpoint is tried again after only the path to it broke', t => {
  // Guards against streams that end although their endpoint, the only one of
  // its version, can be reached without the forwarder that was lost.
  const endpoint = makeEndpoint('one');
  const history = new AttemptHistory();
  const broken = {
    verdict: 'ran',
    hasArrived: true,
    hasTimedOut: false,
  } as const;
  history.begin(endpoint);
  t.true(history.excluded.has(endpoint.id));
  history.fail(endpoint, {...broken, hasPathBroken: true});
  t.false(history.excluded.has(endpoint.id));
  t.deepEqual([...history.tried], [endpoint.id]);
  t.is(history.runs, 1);
  history.begin(endpoint);
  history.fail(endpoint, broken);
  t.true(history.excluded.has(endpoint.id));
});

/** One instance; decides on its requests as the gateway does. */
class Instance {
  private readonly monitor = new EndpointMonitor();
  private readonly reach = new DataCentreReach();
  private readonly demand = new DemandMeter();
  private readonly placement = new PromptPlacement({
    monitor: this.monitor,
    reach: this.reach,
    demand: this.demand,
    recent: this.demand,
  });

  constructor() {
    // Loads are shared, so that requests prefer their own data centre.
    const load = {running: 0, waiting: 0, capacity: 64};
    const any = brandAs<EndpointId>('any');
    this.monitor.noteReportedLoad(any, load, 0);
  }

  /** @returns refused connections; undefined if the request was refused. */
  serve(
    endpoints: readonly ServingEndpoint[],
    isUp: (endpoint: ServingEndpoint) => boolean,
    nowMs: number,
  ): number | undefined {
    const history = new AttemptHistory();
    for (;;) {
      const {excluded, avoided, runs, offers, unreached} = history;
      const placed = this.placement.choose(endpoints, {
        route: COUNTER,
        prompt: makePrompt('shared', 350, 1000),
        dataCentre: AKL_A,
        excluded,
        avoided,
        nowMs,
      });
      if (placed === undefined) return undefined;
      const {endpoint} = placed;
      history.begin(endpoint);
      if (isUp(endpoint)) {
        this.reach.noteReached(endpoint.dataCentre);
        return history.unreached;
      }
      history.fail(endpoint, REFUSED);
      this.monitor.note(endpoint.id, 'unreachable', nowMs);
      this.reach.noteRefused(endpoint.dataCentre, endpoint.id, nowMs);
      const decision = decideAfterFailure({
        route: COUNTER,
        verdict: 'not_run',
        runs,
        offers,
        unreached: unreached + 1,
        deliveredEvents: 0,
        leftMs: 1000,
        untried: endpoints.length - history.excluded.size,
        hasArrived: false,
      });
      if (decision.kind === 'give_up') return undefined;
    }
  }
}

test('load pattern: all engines of a data centre refuse while others are idle', t => {
  // Guards against refusing callers whose local engines have just gone down.
  const local = makeEndpoints(29, AKL_A);
  const remote = makeEndpoints(30, AKL_B);
  const isUp = ({dataCentre}: ServingEndpoint) => dataCentre === AKL_B;
  for (let instance = 0; instance < 65; instance++) {
    const known = new Instance();
    const refusals = Array.from({length: 8}, (_, index) =>
      known.serve([...local, ...remote], isUp, 1 + index),
    );
    t.false(refusals.includes(undefined), 'a request was refused');
    t.true(refusals[0]! <= 2, 'the first request meets at most two refusals');
    t.true(refusals.slice(2).every(count => count === 0));
  }
});

test('one refused connection does not move a request out of its data centre', t => {
  // Guards against needless traffic between data centres after one restart.
  const history = new AttemptHistory();
  const [one, two] = makeEndpoints(2, AKL_A);
  history.fail(one, REFUSED);
  t.false(history.avoided.has(AKL_A));
  history.fail(two, REFUSED);
  t.true(history.avoided.has(AKL_A));
});

test('a connection time-out moves a request out of its data centre at once', t => {
  // Guards against a second wait behind the same network partition.
  const history = new AttemptHistory();
  const [one] = makeEndpoints(1, AKL_A);
  history.fail(one, {...REFUSED, hasTimedOut: true});
  t.true(history.avoided.has(AKL_A));
});

test('only endpoints that got the request count as offers', t => {
  const history = new AttemptHistory();
  const [one, two] = makeEndpoints(2, AKL_A);
  history.fail(one, REFUSED);
  history.fail(two, {verdict: 'ran', hasArrived: true, hasTimedOut: false});
  t.is(history.unreached, 1);
  t.is(history.offers, 1);
  t.is(history.runs, 1);
});
