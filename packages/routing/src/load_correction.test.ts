import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {brandAs, type ServiceId} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {DemandMeter} from './demand_meter.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {LoadControls} from './load_controls.js';
import {CombinedCorrection, LoadCorrection} from './load_correction.js';
import {
  decideByAll,
  LoadShedder,
  type ArrivedRequest,
  type ShedDecision,
} from './load_shedder.js';
import {PromptPlacement} from './prompt_placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {
  AKL_A,
  makeEndpoint,
  makePrompt,
  QUOTE,
  REPAIR,
} from './test_support/fixtures.js';

const NOW_MS = 5000;
const ENGINES = ['quick', 'usual', 'slow'].map(id => makeEndpoint(id));

/** A slow engine, and one without room. */
class UnevenEngines extends LoadCorrection {
  slownessOf({id}: ServingEndpoint): number {
    return id === 'slow' ? 4 : 1;
  }

  extraLoadOf(): number {
    return 0;
  }

  shareOf(): number {
    return 1;
  }

  loadPerRequest(): number {
    return 1;
  }

  hasRoomFor({id}: ServingEndpoint): boolean {
    return id !== 'usual';
  }

  noteSent(): void {}

  noteFirstEvent(): void {}

  noteEnded(): void {}

  retain(): void {}

  forget(): void {}
}

/** Chosen engines of 300 requests without a shared prefix. */
function chooseOften(controls: LoadControls): Map<string, number> {
  const monitor = new EndpointMonitor();
  for (const {id} of ENGINES) {
    const load = {running: 10, waiting: 0, capacity: 64};
    monitor.noteReportedLoad(id, load, NOW_MS - 500);
  }
  const placement = new PromptPlacement({
    monitor,
    reach: new DataCentreReach(),
    demand: new DemandMeter(),
    recent: new DemandMeter(),
    controls,
    correction: new CombinedCorrection([new UnevenEngines()]),
    random: createSeededRandom(11),
  });
  const counts = new Map<string, number>();
  for (let index = 0; index < 300; index++) {
    const placed = placement.choose(ENGINES, {
      route: QUOTE,
      prompt: makePrompt('short', 100, 500),
      dataCentre: AKL_A,
      excluded: new Set(),
      avoided: new Set(),
      nowMs: NOW_MS,
    });
    const id = placed?.endpoint.id ?? 'none';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

test('without load controls requests are placed as before', t => {
  // Guards against corrections that change a deployment that didn't ask for them.
  const counts = chooseOften(new LoadControls());
  for (const {id} of ENGINES) t.true((counts.get(id) ?? 0) > 70, id);
});

test('slow engines and engines without room get fewer requests', t => {
  // Guards against counting a request at a slow engine like one at a quick one.
  const counts = chooseOften(new LoadControls({isCapacityScarce: true}));
  t.is(counts.get('usual'), undefined);
  t.true((counts.get('slow') ?? 0) < 30);
});

test('controls are on for services whose machines are shared', t => {
  // Guards against controls that reach the other services of a deployment.
  const controls = new LoadControls();
  controls.noteSharedMachine(REPAIR);
  t.true(controls.isOn(REPAIR));
  t.false(controls.isOn(brandAs<ServiceId>('booking')));
});

class Refusing extends LoadShedder {
  admitted = 0;

  constructor(private readonly decision: ShedDecision) {
    super();
  }

  decide(): ShedDecision {
    return this.decision;
  }

  noteAdmitted(): void {
    this.admitted += 1;
  }

  noteEnded(): void {
    this.admitted -= 1;
  }
}

test('a request that one shedder refuses counts as admitted by none', t => {
  // Guards against counting refused requests against the room of others.
  const request = {service: REPAIR} as ArrivedRequest;
  const open = new Refusing({kind: 'admit'});
  const full = new Refusing({
    kind: 'refuse',
    reason: 'no_room',
    retryAfterMs: 700,
  });
  t.like(decideByAll([open, full], request), {reason: 'no_room'});
  t.is(open.admitted, 0);
  t.is(decideByAll([open], request).kind, 'admit');
  t.is(open.admitted, 1);
});
