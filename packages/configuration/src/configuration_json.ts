/** A whole configuration as JSON, as instances send it to each other. */

import {InputError} from '@snipestage/errors/request_error.js';
import {toFaults} from '@snipestage/errors/schema_faults.js';
import type {Configuration} from '@snipestage/types/configuration.js';
import {z} from 'zod';
import {objectSchemas} from './object_schemas.js';

const configurationSchema = z.strictObject({
  revision: z.int().min(0),
  dataCentres: z.array(objectSchemas.data_centre),
  requestClasses: z.array(objectSchemas.request_class),
  clientAccounts: z.array(objectSchemas.client_account),
  models: z.array(objectSchemas.model),
  services: z.array(objectSchemas.service),
  endpoints: z.array(objectSchemas.endpoint),
  endpointPools: z.array(objectSchemas.endpoint_pool),
});

/** A configuration as plain data for `JSON.stringify`. */
export type ConfigurationJson = z.input<typeof configurationSchema>;

/**
 * Converts a configuration to plain data.
 *
 * @example
 * const text = JSON.stringify(toJson(configuration));
 */
export function toJson(configuration: Configuration): ConfigurationJson {
  const {revision, ...collections} = configuration;
  const lists = Object.entries(collections).map(([name, objects]) => [
    name,
    [...objects.values()],
  ]);
  return {revision, ...Object.fromEntries(lists)} as ConfigurationJson;
}

/**
 * Parses the plain data of a configuration, such as another instance sent.
 *
 * @throws InputError when the input is not a valid configuration; a damaged one
 *     must not come into force.
 * @example
 * const configuration = fromJson(JSON.parse(text));
 */
export function fromJson(input: unknown): Configuration {
  const result = configurationSchema.safeParse(input);
  if (!result.success) {
    throw new InputError('The configuration is not valid.', {
      faults: toFaults(result.error.issues),
    });
  }
  const {revision, ...lists} = result.data;
  const collections = Object.entries(lists).map(([name, objects]) => [
    name,
    new Map(objects.map(each => [each.id, each])),
  ]);
  return {
    revision,
    ...Object.fromEntries(collections),
  } as unknown as Configuration;
}
