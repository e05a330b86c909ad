import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {chooseByFill} from './fill_choice.js';
import {
  simulateLoadView,
  type SimulatedChoice,
} from './simulation/load_view_simulation.js';

function measure(choice: SimulatedChoice, reportEveryMs: number): number {
  const {p99} = simulateLoadView({
    choice,
    reportEveryMs,
    instances: 200,
    engines: 82,
    requestsPerS: 330,
    meanDurationMs: 1500,
    durationMs: 12_000,
    random: createSeededRandom(7),
  });
  return p99;
}

test('hundreds of instances with one report do not choose one engine', t => {
  // Guards against herding: all instances choose the least loaded of a report.
  const random = measure('random', 500);
  t.true(measure('least_reported', 500) > 2 * random);
  t.true(measure('filled', 500) < random);
  t.true(measure('filled', 1000) <= random);
  t.true(measure('filled', 2000) <= random);
});

const LOADS = new Map([
  ['full', 24],
  ['busy', 22],
  ['idle', 4],
]);

function chooseOften(expectedRequests: number): readonly unknown[] {
  const random = createSeededRandom(3);
  return Array.from({length: 1000}, () =>
    chooseByFill({
      items: [...LOADS.keys()],
      costOf: name => LOADS.get(name)!,
      expectedRequests,
      random,
    }),
  );
}

test('engines with free capacity are chosen more often', t => {
  // Guards against urgent requests at full engines while a few have room.
  const chosen = chooseOften(15);
  t.true(chosen.filter(name => name === 'full').length < 10);
  t.true(chosen.filter(name => name === 'idle').length > 900);
});

test('the more requests are on their way, the less an old load decides', t => {
  // Guards against most urgent requests at the engine that had least to do two
  // seconds ago.
  const idleOf = (expectedRequests: number) =>
    chooseOften(expectedRequests).filter(name => name === 'idle').length;
  t.is(idleOf(0), 1000);
  t.true(idleOf(60) > 450 && idleOf(60) < 650, `${idleOf(60)}`);
  t.true(idleOf(600) > 300 && idleOf(600) < 400, `${idleOf(600)}`);
});

test('without items there is nothing to choose', t => {
  const random = createSeededRandom(1);
  const none = {items: [], costOf: () => 0, expectedRequests: 9, random};
  t.is(chooseByFill(none), undefined);
});
