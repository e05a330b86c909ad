import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {chooseBySample} from './sampled_choice.js';
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
  t.true(measure('sampled', 500) < random);
  t.true(measure('sampled', 1000) <= random);
});

test('engines with free capacity are sampled more often', t => {
  // Guards against urgent requests at full engines while a few have room.
  const random = createSeededRandom(3);
  const rooms = new Map([
    ['full', 0],
    ['busy', 2],
    ['idle', 20],
  ]);
  const chosen = Array.from({length: 1000}, () =>
    chooseBySample({
      items: [...rooms.keys()],
      costOf: name => -rooms.get(name)!,
      roomOf: name => rooms.get(name)!,
      random,
    }),
  );
  t.true(chosen.filter(name => name === 'full').length < 10);
  t.true(chosen.filter(name => name === 'idle').length > 900);
});

test('without items there is nothing to choose', t => {
  const random = createSeededRandom(1);
  const none = {items: [], costOf: () => 0, roomOf: () => 0, random};
  t.is(chooseBySample(none), undefined);
});
