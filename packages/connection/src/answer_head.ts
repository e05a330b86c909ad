/** Whether the head of an answer can be forwarded. */

import {
  validateHeaderName,
  validateHeaderValue,
  type IncomingMessage,
} from 'node:http';

const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Whether a status is one of a final answer (RFC 9110, section 15). Node.js
 * parses any number of three digits, and the 000 of a broken endpoint.
 *
 * @example
 * if (!isFinalStatus(statusCode)) return rejectAnswer();
 */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}

/**
 * Node.js (20) parses answers whose status is no final one, or whose field names
 * are empty or contain spaces, but throws when they are written again.
 *
 * @example
 * if (!isWellFormedHead(response)) return rejectAnswer();
 */
export function isWellFormedHead({
  statusCode = 0,
  rawHeaders,
}: Pick<IncomingMessage, 'statusCode' | 'rawHeaders'>): boolean {
  if (!isFinalStatus(statusCode)) return false;
  return rawHeaders.every((text, index) =>
    index % 2 === 0
      ? isValid(() => validateHeaderName(text))
      : isFieldValue(text),
  );
}

/**
 * Whether a text can be sent as the value of a header field.
 *
 * @example
 * if (!isFieldValue(event.id)) return breakOff();
 */
export function isFieldValue(text: string): boolean {
  return isValid(() => validateHeaderValue('value', text));
}

function isValid(validate: () => void): boolean {
  try {
    validate();
    return true;
  } catch {
    return false;
  }
}
