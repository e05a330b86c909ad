/** Assembles the configuration that results from accepted tickets. */

import type {
  ClientAccount,
  Configuration,
  DataCentre,
  Endpoint,
  EndpointPool,
  Model,
  ObjectChange,
  ObjectKind,
  RequestClass,
  Service,
} from '@snipestage/types/configuration.js';
import {type Revision, brandAs} from '@snipestage/types/ids.js';

type CollectionName = Exclude<keyof Configuration, 'revision'>;

/** The field of a configuration that holds the objects of each kind. */
export const COLLECTION_OF_KIND: Readonly<Record<ObjectKind, CollectionName>> =
  {
    data_centre: 'dataCentres',
    request_class: 'requestClasses',
    client_account: 'clientAccounts',
    model: 'models',
    service: 'services',
    endpoint: 'endpoints',
    endpoint_pool: 'endpointPools',
  };

/**
 * The configuration before the first ticket, at revision 0.
 *
 * @example
 * const configuration = emptyConfiguration();
 */
export function emptyConfiguration(): Configuration {
  return {
    revision: brandAs<Revision>(0),
    dataCentres: new Map<string, DataCentre>(),
    requestClasses: new Map<string, RequestClass>(),
    clientAccounts: new Map<string, ClientAccount>(),
    models: new Map<string, Model>(),
    services: new Map<string, Service>(),
    endpoints: new Map<string, Endpoint>(),
    endpointPools: new Map<string, EndpointPool>(),
  };
}

/**
 * Returns the configuration after the changes; the given one is not modified.
 *
 * @example
 * const next = applyChanges(configuration, ticket.changes, revision);
 */
export function applyChanges(
  configuration: Configuration,
  changes: readonly ObjectChange[],
  revision: Revision,
): Configuration {
  const next = copyCollections(configuration);
  for (const change of changes) {
    const objects = next[COLLECTION_OF_KIND[change.kind]] as Map<
      string,
      unknown
    >;
    if (change.state === null) objects.delete(change.id);
    else objects.set(change.id, change.state);
  }
  return {...next, revision};
}

function copyCollections(configuration: Configuration): Configuration {
  return {
    revision: configuration.revision,
    dataCentres: new Map(configuration.dataCentres),
    requestClasses: new Map(configuration.requestClasses),
    clientAccounts: new Map(configuration.clientAccounts),
    models: new Map(configuration.models),
    services: new Map(configuration.services),
    endpoints: new Map(configuration.endpoints),
    endpointPools: new Map(configuration.endpointPools),
  };
}
