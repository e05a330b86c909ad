/** Finds entries of a configuration that contradict each other or never apply. */

import type {ServiceId} from '@snipestage/types/ids.js';
import type {Route, RoutingConfiguration, Service} from './route.js';
import {normaliseHost} from './route_table.js';

/** One finding, at the path of a field of the {@link RoutingConfiguration}. */
export interface ConfigurationFinding {
  readonly path: string;
  readonly message: string;
}

/**
 * All findings of a configuration; empty when it is clean.
 *
 * @example
 * for (const {path, message} of checkConfiguration(configuration)) print(path);
 */
export function checkConfiguration(
  configuration: RoutingConfiguration,
): readonly ConfigurationFinding[] {
  const {routes, services} = configuration;
  const known = new Set(services.map(({id}) => id));
  const targeted = new Set(
    routes.flatMap(({targets}) => targets.map(({service}) => service)),
  );
  return [
    ...findRepeated(
      routes.map(({id}) => id),
      'routes',
    ),
    ...findRepeated(
      services.map(({id}) => id),
      'services',
    ),
    ...findShadowed(routes),
    ...routes.flatMap((route, index) =>
      checkRoute(route, `routes[${index}]`, known),
    ),
    ...services.flatMap((service, index) =>
      checkService(service, `services[${index}]`, targeted),
    ),
    ...checkAccounts(configuration),
    ...checkLimits(configuration),
  ];
}

function findRepeated(
  ids: readonly string[],
  path: string,
): readonly ConfigurationFinding[] {
  return ids.flatMap((id, index) =>
    ids.indexOf(id) < index
      ? [{path: `${path}[${index}].id`, message: `${id} is defined twice.`}]
      : [],
  );
}

/** Of two routes with one host and prefix, only the later one is found. */
function findShadowed(
  routes: readonly Route[],
): readonly ConfigurationFinding[] {
  const keys = routes.map(
    ({host, pathPrefix}) => `${normaliseHost(host)}${pathPrefix}`,
  );
  return keys.flatMap((key, index) => {
    const last = keys.lastIndexOf(key);
    if (last === index) return [];
    const message = `Never matches: ${routes[last].id} has the same host and prefix.`;
    return [{path: `routes[${index}].pathPrefix`, message}];
  });
}

function checkRoute(
  route: Route,
  path: string,
  known: ReadonlySet<ServiceId>,
): readonly ConfigurationFinding[] {
  const {pathPrefix, timeoutMs, latencyTargetMs, maxAttempts, targets} = route;
  const weights = targets.reduce((sum, {weight}) => sum + weight, 0);
  const unknown = targets.flatMap(({service}, index) =>
    known.has(service)
      ? []
      : [
          {
            path: `${path}.targets[${index}].service`,
            message: `There is no service "${service}".`,
          },
        ],
  );
  return [
    ...when(
      !pathPrefix.startsWith('/') || !pathPrefix.endsWith('/'),
      `${path}.pathPrefix`,
      'Never matches: a prefix begins and ends with a slash.',
    ),
    ...when(timeoutMs <= 0, `${path}.timeoutMs`, 'Must be above 0.'),
    ...when(
      timeoutMs < latencyTargetMs,
      `${path}.timeoutMs`,
      `Is below the latency target of ${latencyTargetMs} ms.`,
    ),
    ...when(maxAttempts < 1, `${path}.maxAttempts`, 'Must be at least 1.'),
    ...when(
      maxAttempts > 1 && maxAttempts * latencyTargetMs > timeoutMs,
      `${path}.maxAttempts`,
      `${maxAttempts} attempts of ${latencyTargetMs} ms take longer than the limit of ${timeoutMs} ms.`,
    ),
    ...when(
      !(weights > 0),
      `${path}.targets`,
      'No target has a weight above 0.',
    ),
    ...unknown,
  ];
}

function checkService(
  {id, engine, scaling, warmup}: Service,
  path: string,
  targeted: ReadonlySet<ServiceId>,
): readonly ConfigurationFinding[] {
  return [
    ...when(!targeted.has(id), path, `No route targets ${id}.`),
    ...when(
      scaling !== undefined && scaling.minCount > scaling.maxCount,
      `${path}.scaling.minCount`,
      `Is above the maximum of ${scaling?.maxCount}.`,
    ),
    ...when(
      engine !== undefined && !(engine.batchSize >= 1),
      `${path}.engine.batchSize`,
      'Must be at least 1.',
    ),
    ...when(
      warmup !== undefined && !(warmup.requestsPerS > 0),
      `${path}.warmup.requestsPerS`,
      'A cold endpoint would get no request at all.',
    ),
  ];
}

/** Later accounts take over keys of earlier ones. */
function checkAccounts({
  clientAccounts,
  routes,
}: RoutingConfiguration): readonly ConfigurationFinding[] {
  const accounts = clientAccounts ?? [];
  const keys = accounts.flatMap((account, index) =>
    account.keys.map((key, place) => ({
      key,
      path: `clientAccounts[${index}].keys[${place}]`,
    })),
  );
  const all = keys.map(({key}) => key);
  const repeated = keys.filter(
    ({key}, index) => all.lastIndexOf(key) !== index,
  );
  const isUnused = keys.length > 0 && routes.every(({isPublic}) => isPublic);
  return [
    ...accounts.flatMap(({id, keys: own}, index) =>
      when(
        own.length === 0,
        `clientAccounts[${index}].keys`,
        `${id} has none.`,
      ),
    ),
    ...repeated.map(({path}) => ({
      path,
      message: 'Is unused: a later entry has the same key.',
    })),
    ...when(
      isUnused,
      'clientAccounts',
      'No key is used: all routes are public.',
    ),
  ];
}

function checkLimits({
  limits,
}: RoutingConfiguration): readonly ConfigurationFinding[] {
  return Object.entries(limits).flatMap(([name, value]) =>
    when(!(value > 0), `limits.${name}`, 'Must be above 0.'),
  );
}

function when(
  isFound: boolean,
  path: string,
  message: string,
): readonly ConfigurationFinding[] {
  return isFound ? [{path, message}] : [];
}
