/** Simulates instances that place requests by a load view of a given age. */

import {chooseByFill} from '../fill_choice.js';
import {leastBy} from '../placement.js';

/** How an instance chooses an engine. */
export type SimulatedChoice =
  | 'random'
  /** The least loaded by the last report and its own requests since. */
  | 'least_reported'
  /** Random, so that expected requests even out the last report. */
  | 'filled'
  /** The least loaded at the moment, which no instance knows. */
  | 'perfect';

/** Parameters of a simulation. */
export interface LoadViewScenario {
  readonly choice: SimulatedChoice;
  readonly instances: number;
  readonly engines: number;
  readonly requestsPerS: number;
  readonly meanDurationMs: number;
  /** Interval between reports. */
  readonly reportEveryMs: number;
  readonly durationMs: number;
  /** At least 0 and below 1. */
  readonly random: () => number;
}

/** Number of requests that were already at the chosen engines. */
export interface LoadViewOutcome {
  readonly mean: number;
  readonly p99: number;
}

const P99_QUANTILE = 0.99;

/**
 * Load pattern: the same report reaches hundreds of instances at once, and each
 * of them chooses the least loaded engine.
 *
 * @example
 * const {p99} = simulateLoadView({...scenario, choice: 'filled'});
 */
export function simulateLoadView(scenario: LoadViewScenario): LoadViewOutcome {
  const world = new SimulatedEngines(scenario);
  const met: number[] = [];
  let atMs = 0;
  while (atMs < scenario.durationMs) {
    atMs += exponential(1000 / scenario.requestsPerS, scenario.random);
    met.push(world.place(atMs));
  }
  met.sort((one, other) => one - other);
  const sum = met.reduce((total, load) => total + load, 0);
  return {
    mean: sum / met.length,
    p99: met[Math.floor(met.length * P99_QUANTILE)],
  };
}

class SimulatedEngines {
  /** End times of the running requests by engine. */
  private readonly ends: number[][];
  private readonly numbers: readonly number[];
  private readonly sentSince = new Map<number, Map<number, number>>();
  private reported: readonly number[] = [];
  private reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly scenario: LoadViewScenario) {
    this.numbers = Array.from({length: scenario.engines}, (_, index) => index);
    this.ends = this.numbers.map(() => []);
  }

  /** @returns how many requests were already at the chosen engine. */
  place(atMs: number): number {
    const {random, instances, meanDurationMs} = this.scenario;
    this.end(atMs);
    this.report(atMs);
    const instance = Math.floor(random() * instances);
    const engine = this.choose(instance);
    const before = this.ends[engine].length;
    this.ends[engine].push(atMs + exponential(meanDurationMs, random));
    const sent = this.sentBy(instance);
    sent.set(engine, (sent.get(engine) ?? 0) + 1);
    return before;
  }

  private choose(instance: number): number {
    const {choice, random, engines, requestsPerS, reportEveryMs} =
      this.scenario;
    const sent = this.sentBy(instance);
    const known = (engine: number) =>
      this.reported[engine] + (sent.get(engine) ?? 0) + random();
    switch (choice) {
      case 'random':
        return Math.floor(random() * engines);
      case 'least_reported':
        return leastBy(this.numbers, known)!;
      case 'filled':
        return chooseByFill({
          items: this.numbers,
          costOf: known,
          expectedRequests: (requestsPerS * reportEveryMs) / 1000,
          random,
        })!;
      case 'perfect':
        return leastBy(this.numbers, engine => this.ends[engine].length)!;
    }
  }

  private report(atMs: number): void {
    if (atMs - this.reportedAtMs < this.scenario.reportEveryMs) return;
    this.reportedAtMs = atMs;
    this.reported = this.ends.map(({length}) => length);
    this.sentSince.clear();
  }

  private end(atMs: number): void {
    for (const [engine, ends] of this.ends.entries()) {
      this.ends[engine] = ends.filter(endMs => endMs > atMs);
    }
  }

  private sentBy(instance: number): Map<number, number> {
    const sent = this.sentSince.get(instance) ?? new Map<number, number>();
    this.sentSince.set(instance, sent);
    return sent;
  }
}

function exponential(mean: number, random: () => number): number {
  return -mean * Math.log(1 - random());
}
