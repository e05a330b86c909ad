/** Finds references to missing objects, and objects that conflict. */

import type {Fault} from '@snipestage/errors/request_error.js';
import type {
  Configuration,
  EndpointTarget,
  ObjectKind,
  ObjectPath,
} from '@snipestage/types/configuration.js';
import {COLLECTION_OF_KIND} from './configuration.js';

/** The rest of a cell's dispatches is assigned by tier alone. */
export const MAX_SUM_OF_GUARANTEED_SHARES = 0.5;

/** Absorbs the rounding of sums such as 0.1 + 0.2 + 0.2. */
const ROUNDING_TOLERANCE = 1e-9;

/** A reference from one object to another. */
interface Reference {
  readonly from: ObjectPath;
  readonly field: string;
  readonly kind: ObjectKind;
  readonly id: string;
}

/**
 * Checks the references between the objects of a configuration and the rules
 * that span objects; removing an object that is still referred to is a fault.
 * Fault paths have the form `<kind>/<id>.<field>`.
 *
 * @example
 * const faults = checkReferences(applyChanges(current, changes, revision));
 */
export function checkReferences(configuration: Configuration): Fault[] {
  return [
    ...listReferences(configuration).flatMap(reference =>
      checkReference(configuration, reference),
    ),
    ...checkSharedRules(configuration),
  ];
}

/**
 * Checks the rules that span objects: no two accounts share a key, and the
 * guaranteed shares of dispatches have an upper limit. A ticket that breaks one
 * of these rules by itself breaks it in every configuration.
 *
 * @example
 * const faults = checkSharedRules(configuration);
 */
export function checkSharedRules(configuration: Configuration): Fault[] {
  return [
    ...checkSharedKeys(configuration),
    ...checkGuaranteedShares(configuration),
  ];
}

function checkReference(
  configuration: Configuration,
  {from, field, kind, id}: Reference,
): Fault[] {
  if (configuration[COLLECTION_OF_KIND[kind]].has(id)) return [];
  return [
    {
      path: `${from}.${field}`,
      message:
        `${from} refers to ${kind}/${id}, which does not exist; ` +
        `create ${kind}/${id} in the ticket, or change or remove ${from}`,
    },
  ];
}

function listReferences(configuration: Configuration): Reference[] {
  return [
    ...listAccountReferences(configuration),
    ...listEndpointReferences(configuration),
    ...listPoolReferences(configuration),
  ];
}

function listAccountReferences(configuration: Configuration): Reference[] {
  return [...configuration.clientAccounts.values()].flatMap(account =>
    account.requestClasses.map((id, index) => ({
      from: `client_account/${account.id}` as const,
      field: `requestClasses[${index}]`,
      kind: 'request_class' as const,
      id,
    })),
  );
}

function listEndpointReferences(configuration: Configuration): Reference[] {
  return [...configuration.endpoints.values()].flatMap(endpoint => {
    const from = `endpoint/${endpoint.id}` as const;
    return [
      {from, field: 'dataCentre', kind: 'data_centre', id: endpoint.dataCentre},
      {from, ...targetOf(endpoint.serves)},
    ];
  });
}

function targetOf(target: EndpointTarget): Omit<Reference, 'from'> {
  return target.kind === 'model'
    ? {field: 'serves.model', kind: 'model', id: target.model}
    : {field: 'serves.service', kind: 'service', id: target.service};
}

function listPoolReferences(configuration: Configuration): Reference[] {
  return [...configuration.endpointPools.values()].flatMap(pool => {
    const from = `endpoint_pool/${pool.id}` as const;
    return [
      {from, field: 'dataCentre', kind: 'data_centre', id: pool.dataCentre},
      {from, field: 'model', kind: 'model', id: pool.model},
    ];
  });
}

/**
 * With one key in two accounts, a request would run for whichever account was
 * found first; one customer would get a bill or a refusal meant for the other.
 */
function checkSharedKeys(configuration: Configuration): Fault[] {
  const faults: Fault[] = [];
  const owners = new Map<string, ObjectPath>();
  for (const account of configuration.clientAccounts.values()) {
    const path = `client_account/${account.id}` as const;
    account.keyHashes.forEach((hash, index) => {
      const owner = owners.get(hash);
      if (owner === undefined) owners.set(hash, path);
      else if (owner !== path) {
        faults.push({
          path: `${path}.keyHashes[${index}]`,
          message: `is also a key of ${owner}; give each account its own keys`,
        });
      }
    });
  }
  return faults;
}

function checkGuaranteedShares(configuration: Configuration): Fault[] {
  const classes = [...configuration.requestClasses.values()];
  const sum = classes.reduce((total, each) => total + each.guaranteedShare, 0);
  if (sum <= MAX_SUM_OF_GUARANTEED_SHARES + ROUNDING_TOLERANCE) return [];
  const names = classes
    .filter(each => each.guaranteedShare > 0)
    .map(each => each.id);
  return [
    {
      path: 'request_class.guaranteedShare',
      message:
        `the shares of ${names.join(', ')} add up to ${sum.toFixed(3)}; ` +
        `together they may have at most ${MAX_SUM_OF_GUARANTEED_SHARES}`,
    },
  ];
}
