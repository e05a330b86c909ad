/** Lists the fields in which two versions of a configuration differ. */

import type {RoutingConfiguration} from './route.js';

/** One field that differs; undefined where a version doesn't have it. */
export interface ConfigurationDifference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

const HIDDEN = '(hidden)';

/**
 * Routes, services and accounts are compared by their ids, so that moving an
 * entry is no difference. Versions are left out: they differ always.
 *
 * @example
 * for (const {path} of compareConfigurations(inForce, next)) print(path);
 */
export function compareConfigurations(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): readonly ConfigurationDifference[] {
  const differences = compare(
    {...before, version: undefined},
    {...after, version: undefined},
    '',
  );
  return differences.map(each => (holdsKeys(each.path) ? hide(each) : each));
}

/** Keys of client accounts are secret; output may be kept in logs. */
function holdsKeys(path: string): boolean {
  return path.startsWith('clientAccounts');
}

function hide({path, before, after}: ConfigurationDifference) {
  const hidden = (value: unknown) => value && HIDDEN;
  return {path, before: hidden(before), after: hidden(after)};
}

function compare(
  before: unknown,
  after: unknown,
  path: string,
): readonly ConfigurationDifference[] {
  if (Object.is(before, after)) return [];
  const left = toFields(before);
  const right = toFields(after);
  if (left === undefined || right === undefined) {
    return [{path, before, after}];
  }
  const names = new Set([...left.keys(), ...right.keys()]);
  return [...names].flatMap(name =>
    compare(
      left.get(name),
      right.get(name),
      path === '' ? name : `${path}.${name}`,
    ),
  );
}

/** Entries of an object, map or list; undefined for a plain value. */
function toFields(value: unknown): Map<string, unknown> | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  if (value instanceof Map) return new Map(value);
  if (!Array.isArray(value)) return new Map(Object.entries(value));
  return new Map(
    value.map((item: unknown, index) => [nameOf(item, index), item]),
  );
}

function nameOf(item: unknown, index: number): string {
  const hasId = typeof item === 'object' && item !== null && 'id' in item;
  return hasId ? String(item.id) : String(index);
}
