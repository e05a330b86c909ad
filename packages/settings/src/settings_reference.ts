/** Lists all settings and their defaults, derived from the schema. */

import {z} from 'zod';
import {entrySettingsSchema} from './entry_settings.js';

/** A setting, as listed in the documentation. */
export interface SettingDescription {
  /** Such as `callers.port`. */
  readonly path: string;
  /** `required`, `optional`, or the default as JSON. */
  readonly defaultText: string;
  readonly description: string;
}

/** The fields of a JSON schema that are used here. */
interface Schema {
  readonly properties?: Readonly<Record<string, Schema>>;
  readonly required?: readonly string[];
  readonly default?: unknown;
  readonly description?: string;
}

/**
 * Lists all settings in the order of the schema. Required settings of an
 * optional section are required only if that section is present.
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
    const defaultText = defaultTextOf(field, required.includes(name));
    return [{path, defaultText, description: field.description ?? ''}];
  });
}

function defaultTextOf(field: Schema, isRequired: boolean): string {
  if (field.default !== undefined) return JSON.stringify(field.default);
  return isRequired ? 'required' : 'optional';
}
