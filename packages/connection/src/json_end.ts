/** Finds the end of a JSON document without parsing it. */

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING: ReadonlySet<number> = new Set([0x5b, 0x7b]);
const CLOSING: ReadonlySet<number> = new Set([0x5d, 0x7d]);

/**
 * Whether bytes end inside an object, an array or a string. Takes no memory,
 * whatever the bytes are.
 *
 * @example
 * endsInsideJson(Buffer.from('{"a": [1, 2]')); // true
 */
export function endsInsideJson(bytes: Buffer): boolean {
  let depth = 0;
  let isInString = false;
  for (let position = 0; position < bytes.length; position += 1) {
    const byte = bytes[position];
    if (isInString && byte === BACKSLASH) position += 1;
    else if (byte === QUOTE) isInString = !isInString;
    else if (!isInString && OPENING.has(byte)) depth += 1;
    else if (!isInString && CLOSING.has(byte)) depth -= 1;
  }
  return isInString || depth > 0;
}
