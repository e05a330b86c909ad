/** Takes secrets and contents of requests out of what is logged. */

/** Stands where something was taken out. */
export const REDACTED = '[redacted]';

const MAX_DEPTH = 4;
const MAX_TEXT_LENGTH = 2000;
const MAX_ITEMS = 50;

/** Endings of field names, in lower case and without `-` and `_`. */
const SENSITIVE_NAME =
  /(authorization|secret|password|credentials?|cookie|keys?|keyhash(es)?|tokens?|body|prompt|messages|content)$/;

/** Secrets inside other text, such as an error's message. */
const SENSITIVE_TEXT: ReadonlyArray<readonly [RegExp, string]> = [
  [/\b(Bearer|Basic)\s+[^\s"',]+/gi, `$1 ${REDACTED}`],
  [/\bsk-[\w-]{8,}/g, REDACTED],
  [/\bsha256:[0-9a-f]{16,}/gi, REDACTED],
  [/\/\/[^\s/@:]+:[^\s/@]+@/g, `//${REDACTED}@`],
];

/**
 * A copy of the fields that may be written. A key or a caller's text in a log
 * would be read by everyone who reads logs, and nobody would notice. So
 * everything under a sensitive name goes, but for numbers and booleans, which
 * hold no secret (`outputTokens`, `fencingToken`), and known shapes of secrets
 * go wherever they stand.
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
  // Bytes are contents of requests or answers, whatever the field is called.
  if (ArrayBuffer.isView(value)) return REDACTED;
  if (value instanceof Error) return describeError(value, depth);
  if (value instanceof Date) return value;
  if (depth > MAX_DEPTH) return '[too deep]';
  if (value instanceof Map) {
    return redactRecord(Object.fromEntries(value), depth);
  }
  if (Array.isArray(value) || value instanceof Set) {
    return [...value]
      .slice(0, MAX_ITEMS)
      .map(item => redactValue(item, depth + 1));
  }
  return redactRecord(value as Record<string, unknown>, depth);
}

/** Only what is known to be harmless: errors of got carry whole headers. */
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
