/** Converts the issues that a schema reports to readable faults. */

import type {Fault} from './request_error.js';

/** The fields of a zod issue that are used here. */
export interface SchemaIssue {
  readonly code?: string;
  readonly path: readonly PropertyKey[];
  readonly message: string;
  /** Names of unknown fields, for the code `unrecognized_keys`. */
  readonly keys?: readonly string[];
}

/**
 * Converts each issue to a fault; each unknown field gets its own.
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
 * Formats a path as an expression in code.
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
