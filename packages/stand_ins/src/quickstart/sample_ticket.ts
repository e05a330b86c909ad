/** The sample tickets, with what only the start of the stand-ins can tell. */

import {readFileSync} from 'node:fs';

/** Values for the places `${name}` of a sample. */
export type SampleValues = Readonly<Record<string, string>>;

const PLACE = /\$\{([^}]+)\}/g;

/**
 * Reads a sample ticket from `samples/` and fills its places in.
 *
 * @throws Error when a place has no value.
 * @example
 * readSampleTicket('kowhai_ticket', {'url:repair-1': 'http://127.0.0.1:7001'});
 */
export function readSampleTicket(name: string, values: SampleValues): object {
  const file = new URL(`../../samples/${name}.json`, import.meta.url);
  const text = readFileSync(file, 'utf8');
  const filled = text.replace(PLACE, (_place, key: string) => {
    const value = values[key];
    if (value === undefined) throw new Error(`${name} lacks ${key}.`);
    return value;
  });
  return JSON.parse(filled) as object;
}
