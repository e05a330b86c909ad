/** Turns what a schema found wrong into faults that a person can act on. */

import type {Fault} from './request_error.js';

/** The part of a zod issue that a fault is made from. */
export interface SchemaIssue {
  readonly code?: string;
  readonly path: readonly PropertyKey[];
  readonly message: string;
  /** Names of the fields that the schema doesn't know. */
  readonly keys?: readonly string[];
}

/**
 * A fault for each field that is wrong; unknown fields get one each.
 *
 * @example
 * const result = schema.safeParse(input);
 * if (!result.success) return toFaults(result.error.issues);
 */
export function toFaults(issues: readonly SchemaIssue[]): Fault[] {
  return issues.flatMap(issue => {
    if (issue.code === 'unrecognized_keys' && issue.keys !== undefined) {
      return issue.keys.map(key => ({
        path: pathOf([...issue.path, key]),
        message: 'is not a known field',
      }));
    }
    return [{path: pathOf(issue.path), message: issue.message}];
  });
}

/**
 * Writes a path the way one reads it in code.
 *
 * @example
 * pathOf(['changes', 2, 'state', 'tier']); // 'changes[2].state.tier'
 */
export function pathOf(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}
