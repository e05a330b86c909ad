/** Lists every setting with its default, from the schema itself. */

import {z} from 'zod';
import {entrySettingsSchema} from './entry_settings.js';

/** One setting as the documentation lists it. */
export interface SettingDescription {
  /** Such as `callers.port`. */
  readonly path: string;
  /** `required`, `optional`, or the default as JSON. */
  readonly standard: string;
  readonly description: string;
}

/** The part of a JSON schema that is read here. */
interface Schema {
  readonly properties?: Readonly<Record<string, Schema>>;
  readonly required?: readonly string[];
  readonly default?: unknown;
  readonly description?: string;
}

/**
 * All settings in the order of the schema. Those of a part that may be left out
 * are required only where that part is given.
 *
 * @example
 * listSettings().map(setting => setting.path); // ['instance', …]
 */
export function listSettings(): SettingDescription[] {
  const schema = z.toJSONSchema(entrySettingsSchema, {io: 'input'});
  return listFields(schema as Schema, '');
}

function listFields(schema: Schema, prefix: string): SettingDescription[] {
  const {properties = {}, required = []} = schema;
  return Object.entries(properties).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    if (field.properties !== undefined) return listFields(field, `${path}.`);
    const standard = standardOf(field, required.includes(name));
    return [{path, standard, description: field.description ?? ''}];
  });
}

function standardOf(field: Schema, isRequired: boolean): string {
  if (field.default !== undefined) return JSON.stringify(field.default);
  return isRequired ? 'required' : 'optional';
}
