/** Formats the figures of a scenario as a table with one column per policy. */

import {medianOf, type RunFigures} from './figures.js';

/** A measure and its value in each run, by policy. */
export interface MeasureRow {
  readonly name: string;
  readonly values: Readonly<Record<string, readonly number[]>>;
}

type FlatFigures = ReadonlyMap<string, number>;

const NAME_WIDTH = 44;
const VALUE_WIDTH = 24;
/** Measures that only the JSON output shows. */
const DETAIL_NAMES = /byPhase\.\w+\.(firstToken|betweenTokens|deadline)$/;

/**
 * Arranges the figures of all runs by measure.
 *
 * @example
 * const rows = assembleRows({tiered: [first, second]});
 */
export function assembleRows(
  runs: Readonly<Record<string, readonly RunFigures[]>>,
): MeasureRow[] {
  const flat = Object.entries(runs).map(
    ([policy, figures]) => [policy, figures.map(flatten)] as const,
  );
  const names = new Set(
    flat.flatMap(([, list]) => list.flatMap(each => [...each.keys()])),
  );
  return [...names].map(name => ({
    name,
    values: Object.fromEntries(
      flat.map(([policy, list]) => [
        policy,
        list.map(each => each.get(name) ?? 0),
      ]),
    ),
  }));
}

/**
 * Formats the rows as text, without the details of phases: the median and, of
 * several runs, the lowest and highest value.
 *
 * @example
 * console.log(formatRows(rows));
 */
export function formatRows(rows: readonly MeasureRow[]): string {
  const shown = rows.filter(({name}) => !DETAIL_NAMES.test(name));
  const policies = Object.keys(rows[0]?.values ?? {});
  const head = ['measure'.padEnd(NAME_WIDTH), ...policies.map(pad)].join('');
  const lines = shown.map(row => {
    const cells = policies.map(policy => pad(formatCell(row.values[policy])));
    return [row.name.padEnd(NAME_WIDTH), ...cells].join('');
  });
  return [head, ...lines].join('\n');
}

function formatCell(values: readonly number[]): string {
  const median = formatNumber(medianOf(values));
  if (values.length < 2) return median;
  const low = formatNumber(Math.min(...values));
  const high = formatNumber(Math.max(...values));
  return `${median} (${low}..${high})`;
}

function formatNumber(value: number): string {
  if (Number.isInteger(value)) return String(value);
  return value.toFixed(value < 10 ? 3 : 1);
}

function pad(text: string): string {
  return text.padStart(VALUE_WIDTH);
}

/** Flattens nested figures to names such as `classes.counter.all`. */
function flatten(figures: RunFigures): FlatFigures {
  const flat = new Map<string, number>();
  const add = (prefix: string, value: unknown): void => {
    if (typeof value === 'number') flat.set(prefix, value);
    else if (typeof value === 'object' && value !== null) {
      for (const [key, inner] of Object.entries(value)) {
        add(prefix === '' ? key : `${prefix}.${key}`, inner);
      }
    }
  };
  add('', figures);
  return flat;
}
