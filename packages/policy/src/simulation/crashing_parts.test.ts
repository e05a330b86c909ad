import test from 'ava';
import type {RandomSource} from '../random_source.js';
import {
  simulateCrashingParts,
  type CrashingPartsOptions,
  type SimulatedPrompts,
} from './crashing_parts.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const MAX_LATE_ARRIVALS = 3;
const MIN_ADMITTED_SHARE = 0.95;
const TOPICS = 20;

function topic(random: RandomSource): string {
  return `topic-${Math.floor(random() * TOPICS)}`;
}

const SOUND: SimulatedPrompts = {
  draw: random => ['system', topic(random)],
  perS: 40,
};
const BAD: SimulatedPrompts = {
  draw: random => ['system', topic(random), 'bad'],
  perS: 3,
};
const USUAL = {endpoints: 18, sound: SOUND, bad: BAD, crashing: ['bad']};

interface Case extends Omit<CrashingPartsOptions, 'seed' | 'instances'> {
  readonly name: string;
}

const CASES: readonly Case[] = [
  {name: 'a part that crashes endpoints', ...USUAL},
  {
    name: 'a part that crashes endpoints, learnt late by some',
    ...USUAL,
    delayedShare: 0.2,
  },
  {
    name: 'a part that is always beside a sound one',
    ...USUAL,
    bad: {draw: () => ['system', 'companion', 'bad'], perS: 3},
  },
  {
    name: 'a part beside a rare sound one',
    ...USUAL,
    sound: {
      draw: random => ['system', random() < 0.02 ? 'rare' : topic(random)],
      perS: 40,
    },
    bad: {draw: () => ['system', 'rare', 'bad'], perS: 3},
  },
  {
    name: 'two parts that crash endpoints',
    ...USUAL,
    bad: {
      draw: random => [
        'system',
        topic(random),
        random() < 0.5 ? 'bad' : 'worse',
      ],
      perS: 5,
    },
    crashing: ['bad', 'worse'],
  },
  {
    name: 'a part that crashes endpoints from some time on',
    ...USUAL,
    crashingFromMs: 20_000,
  },
];

for (const instances of [1, 9, 65, 195]) {
  for (const {name, ...options} of CASES) {
    test(`${instances} instances: ${name}`, t => {
      // Guards against requests, no two alike, that crash one endpoint after
      // the other, and against refusing sound ones that share other parts.
      for (const seed of SEEDS) {
        const result = simulateCrashingParts({...options, seed, instances});
        for (const late of result.lateArrivals) {
          t.true(late <= MAX_LATE_ARRIVALS, `seed ${seed}: ${late} late`);
        }
        const {soundSent, soundAdmitted} = result;
        t.true(
          soundAdmitted >= MIN_ADMITTED_SHARE * soundSent,
          `seed ${seed}: ${soundAdmitted} of ${soundSent} sound requests`,
        );
      }
    });
  }

  for (const losesAll of [false, true]) {
    test(`${instances} instances: the loss of ${losesAll ? 'all' : 'some'} endpoints accuses nothing for long`, t => {
      // Guards against refusing prompts whose engines were lost together.
      for (const seed of SEEDS) {
        const {soundSent, soundAdmitted} = simulateCrashingParts({
          ...USUAL,
          bad: undefined,
          crashing: [],
          lossAtMs: 15_000,
          losesAll,
          restartMs: 12_000,
          seed,
          instances,
        });
        t.true(soundSent > 0);
        t.true(
          soundAdmitted >= MIN_ADMITTED_SHARE * soundSent,
          `seed ${seed}: ${soundAdmitted} of ${soundSent} sound requests`,
        );
      }
    });
  }
}
