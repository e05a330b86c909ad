/**
 * Common parts of the experiments: measurements of one quantity on test beds
 * without the load and faults of a scenario.
 */

import type {EngineStandInOptions} from '../engine/engine_stand_in.js';
import type {Scenario} from './scenario.js';

/** One line of an experiment's table: a name and its figures. */
export interface ExperimentRow {
  readonly name: string;
  readonly figures: Readonly<Record<string, number>>;
}

export const EXPERIMENT_MODEL = 'repair';
export const EXPERIMENT_CLASS = 'counter';
export const EXPERIMENT_ACCOUNT = 'central';

/** Options of {@link idleScenario}: what differs between experiments. */
export interface IdleScenarioOptions {
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  readonly enginesPerDataCentre: number;
  readonly engine: EngineStandInOptions;
  readonly maxConcurrency: number;
}

/**
 * Returns a scenario without load or faults, to start a test bed with.
 *
 * @example
 * const testBed = await startTestBed(
 *   launcher,
 *   idleScenario(options),
 *   'tiered',
 * );
 */
export function idleScenario(options: IdleScenarioOptions): Scenario {
  return {
    name: 'idle',
    about: 'Nothing happens',
    seed: 1,
    durationMs: 0,
    dataCentres: options.dataCentres,
    entriesPerDataCentre: options.entriesPerDataCentre,
    model: EXPERIMENT_MODEL,
    classes: {
      [EXPERIMENT_CLASS]: {
        tier: 0,
        firstTokenTargetMs: 5000,
        betweenTokensTargetMs: 200,
        deadlineMs: 60_000,
        guaranteedShare: 0,
        cheapEndpointsAllowed: true,
      },
    },
    engines: {
      regularPerDataCentre: options.enginesPerDataCentre,
      cheapPerDataCentre: 0,
      options: options.engine,
      maxConcurrency: options.maxConcurrency,
    },
    streams: [
      {
        requestClass: EXPERIMENT_CLASS,
        ratePerSecond: 1,
        accounts: [{account: EXPERIMENT_ACCOUNT, weight: 1}],
        meanOutputTokens: 1,
        sharedWords: 0,
      },
    ],
  };
}

/**
 * Formats rows as a table with one column per figure.
 *
 * @example
 * console.log(formatExperiment(rows));
 */
export function formatExperiment(rows: readonly ExperimentRow[]): string {
  const names = [...new Set(rows.flatMap(row => Object.keys(row.figures)))];
  const widths = names.map(name => Math.max(name.length, 9) + 2);
  const nameWidth = Math.max(...rows.map(({name}) => name.length), 4);
  const cells = (texts: readonly string[]): string =>
    texts.map((text, at) => text.padStart(widths[at])).join('');
  const lines = rows.map(({figures, name}) => {
    const texts = names.map(each => (figures[each] ?? NaN).toFixed(3));
    return name.padEnd(nameWidth) + cells(texts);
  });
  return [''.padEnd(nameWidth) + cells(names), ...lines].join('\n');
}
