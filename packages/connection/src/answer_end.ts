/** How the answer of an endpoint ended, and whether it is whole. */

import type {IncomingHttpHeaders} from 'node:http';

/** What says where an answer ends: its length, its chunks or its connection. */
export type AnswerFraming = 'length' | 'chunks' | 'close';

/** The events that were read of a stream. */
export interface EventsRead {
  /** Number of complete events. */
  readonly count: number;
  /** Whether bytes of another event had arrived at the end. */
  readonly hasPartialEvent: boolean;
}

/** An answer whose last byte has been read. */
export interface EndedAnswer {
  readonly framing: AnswerFraming;
  /** Whether all that its length or its chunks promise has arrived. */
  readonly isFramingComplete: boolean;
  /** Whether the endpoint closed the connection rather than reset it. */
  readonly hasClosedCleanly: boolean;
  /** Undefined for answers that are no streams. */
  readonly events: EventsRead | undefined;
}

/**
 * - `framed`: complete by its length or its chunks.
 * - `closed`: complete as far as its bytes tell; its connection was closed.
 * - `cut_short`: the connection ended before its length or its last chunk.
 * - `reset`: it has neither, and the connection was reset.
 * - `inside_event`: the stream ended before the end of an event.
 * - `without_event`: the connection closed before the first event.
 */
export type AnswerEnd =
  | 'framed'
  | 'closed'
  | 'cut_short'
  | 'reset'
  | 'inside_event'
  | 'without_event';

/** Framing and end of an answer, for logs and metrics. */
export interface AnswerEnding {
  readonly framing: AnswerFraming;
  readonly end: AnswerEnd;
}

/**
 * Reads from the headers what ends an answer (RFC 9112, section 6.3).
 *
 * @example
 * framingOf({'content-length': '12'}); // 'length'
 */
export function framingOf(headers: IncomingHttpHeaders): AnswerFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/**
 * Classifies the end of an answer.
 *
 * @example
 * const end = classifyAnswerEnd({framing: 'close', ...rest});
 */
export function classifyAnswerEnd(answer: EndedAnswer): AnswerEnd {
  const {framing, isFramingComplete, hasClosedCleanly, events} = answer;
  const isFramed = framing !== 'close';
  if (isFramed && !isFramingComplete) return 'cut_short';
  if (!isFramed && !(isFramingComplete && hasClosedCleanly)) return 'reset';
  if (events?.hasPartialEvent === true) return 'inside_event';
  if (isFramed) return 'framed';
  return events?.count === 0 ? 'without_event' : 'closed';
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
