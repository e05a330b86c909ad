/** Removes secrets and request contents from log fields. */

/** Placeholder for removed values. */
export const REDACTED = '[redacted]';

const MAX_DEPTH = 4;
const MAX_TEXT_LENGTH = 2000;
const MAX_ITEM_COUNT = 50;

/** Suffixes of sensitive field names, in lower case without `-` and `_`. */
const SENSITIVE_NAME =
  /(authorization|secret|password|credentials?|cookie|keys?|keyhash(es)?|tokens?|body|prompt|messages|content)$/;

/** Patterns of secrets inside other text, such as the message of an error. */
const SENSITIVE_TEXT: ReadonlyArray<readonly [RegExp, string]> = [
  [/\b(Bearer|Basic)\s+[^\s"',]+/gi, `$1 ${REDACTED}`],
  [/\bsk-[\w-]{8,}/g, REDACTED],
  [/\bsha256:[0-9a-f]{16,}/gi, REDACTED],
  [/\/\/[^\s/@:]+:[^\s/@]+@/g, `//${REDACTED}@`],
];

/**
 * Returns a copy of the fields that is safe to log. A key or a caller's text in
 * a log would be readable by everyone with access to the logs, without anyone
 * noticing. Therefore all values under sensitive names are removed, except
 * numbers and booleans, which hold no secret (`outputTokens`, `fencingToken`),
 * and known patterns of secrets are removed from all texts.
 *
 * @example
 * redact({requestId: 'r-1', apiKey: 'sk-…'});
 * // {requestId: 'r-1', apiKey: '[redacted]'}
 */
export function redact(
  fields: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  return redactRecord(fields, 0);
}

function redactRecord(
  record: Readonly<Record<string, unknown>>,
  depth: number,
): Record<string, unknown> {
  const entries = Object.entries(record).map(([name, value]) => [
    name,
    isSensitive(name, value) ? REDACTED : redactValue(value, depth + 1),
  ]);
  return Object.fromEntries(entries);
}

function isSensitive(name: string, value: unknown): boolean {
  if (value === undefined || value === null) return false;
  if (typeof value === 'number' || typeof value === 'boolean') return false;
  return SENSITIVE_NAME.test(name.toLowerCase().replace(/[-_]/g, ''));
}

function redactValue(value: unknown, depth: number): unknown {
  if (typeof value === 'string') return redactText(value);
  if (typeof value !== 'object' || value === null) {
    return typeof value === 'bigint' ? String(value) : value;
  }
  // Bytes are contents of requests or answers, whatever the name of the field.
  if (ArrayBuffer.isView(value)) return REDACTED;
  if (value instanceof Error) return describeError(value, depth);
  if (value instanceof Date) return value;
  if (depth > MAX_DEPTH) return '[too deep]';
  if (value instanceof Map) {
    return redactRecord(Object.fromEntries(value), depth);
  }
  if (Array.isArray(value) || value instanceof Set) {
    return [...value]
      .slice(0, MAX_ITEM_COUNT)
      .map(item => redactValue(item, depth + 1));
  }
  return redactRecord(value as Record<string, unknown>, depth);
}

/** Copies only harmless properties, since errors of got have all headers. */
function describeError(error: Error, depth: number): unknown {
  const {code} = error as {code?: unknown};
  return {
    name: error.name,
    message: redactText(error.message),
    code: typeof code === 'string' ? code : undefined,
    stack: redactText(error.stack ?? ''),
    cause:
      error.cause instanceof Error && depth < MAX_DEPTH
        ? describeError(error.cause, depth + 1)
        : undefined,
  };
}

function redactText(text: string): string {
  const clean = SENSITIVE_TEXT.reduce(
    (rest, [pattern, replacement]) => rest.replace(pattern, replacement),
    text,
  );
  if (clean.length <= MAX_TEXT_LENGTH) return clean;
  return `${clean.slice(0, MAX_TEXT_LENGTH)}…`;
}
