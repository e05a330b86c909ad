/** Fills sample tickets with values known only after the stand-ins start. */

import {readFileSync} from 'node:fs';

/** Values of the placeholders `${name}` of a sample. */
export type SampleValues = Readonly<Record<string, string>>;

const PLACEHOLDER = /\$\{([^}]+)\}/g;

/**
 * Reads a sample ticket from `samples/` and fills in its placeholders.
 *
 * @throws Error when a placeholder has no value.
 * @example
 * readSampleTicket('kowhai_ticket', {'url:repair-1': 'http://127.0.0.1:7001'});
 */
export function readSampleTicket(name: string, values: SampleValues): object {
  const file = new URL(`../../samples/${name}.json`, import.meta.url);
  const text = readFileSync(file, 'utf8');
  const filled = text.replace(PLACEHOLDER, (_place, key: string) => {
    const value = values[key];
    if (value === undefined)
      throw new Error(`Sample ${name} has no value for ${key}.`);
    return value;
  });
  return JSON.parse(filled) as object;
}
