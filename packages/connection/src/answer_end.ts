/** How the answer of an endpoint ended, and whether it is whole. */

import type {IncomingHttpHeaders} from 'node:http';
import {endsInsideJson} from './json_end.js';

/** What says where an answer ends: its length, its chunks or its connection. */
export type AnswerFraming = 'length' | 'chunks' | 'close';

/** What was read of an answer. */
export type AnswerContent =
  | {
      readonly kind: 'events';
      /** Number of complete events. */
      readonly count: number;
      /** Whether bytes of another event had arrived at the end. */
      readonly hasPartialEvent: boolean;
    }
  | {
      readonly kind: 'document';
      /** Whether it is less than its media type needs. */
      readonly isPartial: boolean;
    };

/** An answer whose last byte has been read. */
export interface EndedAnswer {
  readonly framing: AnswerFraming;
  /** Whether all that its length or its chunks promise has arrived. */
  readonly isFramingComplete: boolean;
  /** Whether the endpoint closed the connection rather than reset it. */
  readonly hasClosedCleanly: boolean;
  /** Whether the request had been written by then. */
  readonly isRequestSent: boolean;
  readonly content: AnswerContent;
}

/**
 * - `framed`: complete by its length or its chunks.
 * - `closed`: its connection was closed and nothing shows that more was to come.
 * - `cut_short`: the connection ended before its length or its last chunk.
 * - `reset`: it has neither, and the connection was reset.
 * - `before_request`: it has neither, and the request hadn't been written. A
 *   reset that follows such a close isn't seen.
 * - `inside_event`: the stream ended before the end of an event.
 * - `without_event`: the connection closed before the first event.
 * - `inside_document`: it has neither length nor chunks and is half a document.
 * - `endpoint_gone`: as `closed`, but its endpoint accepts no connections.
 */
export type AnswerEnd =
  | 'framed'
  | 'closed'
  | 'cut_short'
  | 'reset'
  | 'before_request'
  | 'inside_event'
  | 'without_event'
  | 'inside_document'
  | 'endpoint_gone';

/** Framing and end of an answer, for logs and metrics. */
export interface AnswerEnding {
  readonly framing: AnswerFraming;
  readonly end: AnswerEnd;
}

const ENDS_CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/**
 * Reads from the headers what ends an answer (RFC 9112, section 6.3).
 *
 * @example
 * framingOf({'content-length': '12'}); // 'length'
 */
export function framingOf(headers: IncomingHttpHeaders): AnswerFraming {
  const codings = headers['transfer-encoding'];
  // With another last coding, the answer ends with its connection.
  if (codings !== undefined)
    return ENDS_CHUNKED.test(codings) ? 'chunks' : 'close';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/**
 * Classifies the end of an answer by its bytes and its connection. With neither
 * length nor chunks these can't tell `closed` from `endpoint_gone`.
 *
 * @example
 * const end = classifyAnswerEnd({framing: 'close', ...rest});
 */
export function classifyAnswerEnd(answer: EndedAnswer): AnswerEnd {
  const {framing, isFramingComplete, hasClosedCleanly, content} = answer;
  const isFramed = framing !== 'close';
  if (isFramed && !isFramingComplete) return 'cut_short';
  if (!isFramed && !(isFramingComplete && hasClosedCleanly)) return 'reset';
  if (!isFramed && !answer.isRequestSent) return 'before_request';
  if (content.kind === 'events' && content.hasPartialEvent) {
    return 'inside_event';
  }
  if (isFramed) return 'framed';
  if (content.kind === 'events') {
    return content.count === 0 ? 'without_event' : 'closed';
  }
  return content.isPartial ? 'inside_document' : 'closed';
}

/** Parsed, a document may occupy many times its size. */
const MAX_PARSED_BYTES = 1_048_576;
const JSON_TYPE = /^application\/(?:[^;]+\+)?json\b/i;

/**
 * Whether a body is less than its media type needs; only JSON tells.
 *
 * @example
 * isPartialDocument('application/json', Buffer.from('{"a":')); // true
 */
export function isPartialDocument(
  contentType: string | undefined,
  body: Buffer,
): boolean {
  if (contentType === undefined || !JSON_TYPE.test(contentType)) return false;
  if (body.length > MAX_PARSED_BYTES) return endsInsideJson(body);
  try {
    JSON.parse(body.toString());
    return false;
  } catch {
    return true;
  }
}

/**
 * Whether an answer with this end is whole. What isn't known to be whole is
 * broken off, on every path.
 *
 * @example
 * if (!isWholeEnd(end)) return breakOff();
 */
export function isWholeEnd(end: AnswerEnd): boolean {
  return end === 'framed' || end === 'closed';
}
