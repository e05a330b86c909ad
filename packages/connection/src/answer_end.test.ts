import test from 'ava';
import {
  classifyAnswerEnd,
  framingOf,
  isPartialDocument,
  type AnswerContent,
  type AnswerEnd,
  type AnswerFraming,
} from './answer_end.js';

const DOCUMENT: AnswerContent = {kind: 'document', isPartial: false};
const HALF: AnswerContent = {kind: 'document', isPartial: true};
const EVENTS: AnswerContent = {
  kind: 'events',
  count: 2,
  hasPartialEvent: false,
};
const NO_EVENTS: AnswerContent = {...EVENTS, count: 0};
const PARTIAL: AnswerContent = {...EVENTS, hasPartialEvent: true};

/** Framing, whether it is complete, whether the close was clean, content. */
type Row = readonly [AnswerFraming, boolean, boolean, AnswerContent, AnswerEnd];

const ROWS: readonly Row[] = [
  ['length', true, false, DOCUMENT, 'framed'],
  ['chunks', true, false, NO_EVENTS, 'framed'],
  ['chunks', false, true, EVENTS, 'cut_short'],
  ['length', true, false, PARTIAL, 'inside_event'],
  ['close', true, true, EVENTS, 'closed'],
  ['close', true, true, PARTIAL, 'inside_event'],
  ['close', true, true, NO_EVENTS, 'without_event'],
  ['close', true, false, PARTIAL, 'reset'],
  ['close', false, true, EVENTS, 'reset'],
  ['close', true, true, HALF, 'inside_document'],
  ['length', true, true, HALF, 'framed'],
];

test('framing, connection and content tell how an answer ended', t => {
  for (const row of ROWS) {
    const [framing, isFramingComplete, hasClosedCleanly, content, end] = row;
    const answer = {
      framing,
      isFramingComplete,
      hasClosedCleanly,
      content,
      isRequestSent: true,
    };
    t.is(classifyAnswerEnd(answer), end, JSON.stringify(row));
  }
});

test('what a close ends is whole only if its request was sent before', t => {
  // Guards against half an answer whose connection is reset after its end.
  const answer = {
    isFramingComplete: true,
    hasClosedCleanly: true,
    isRequestSent: false,
    content: DOCUMENT,
  };
  t.is(classifyAnswerEnd({...answer, framing: 'close'}), 'before_request');
  t.is(classifyAnswerEnd({...answer, framing: 'length'}), 'framed');
  t.is(classifyAnswerEnd({...answer, framing: 'chunks'}), 'framed');
});

test('chunks delimit an answer only as its last transfer coding', t => {
  // Guards against an answer that ends with its connection, and so may be cut,
  // but is taken for one that is complete by its chunks.
  t.is(framingOf({'transfer-encoding': 'chunked'}), 'chunks');
  t.is(framingOf({'transfer-encoding': 'gzip, Chunked'}), 'chunks');
  t.is(framingOf({'transfer-encoding': 'gzip'}), 'close');
  t.is(framingOf({'transfer-encoding': 'chunked, gzip'}), 'close');
  t.is(framingOf({'transfer-encoding': 'identity'}), 'close');
});

test('only a JSON document can be less than its media type needs', t => {
  const half = Buffer.from('{"a":');
  t.true(isPartialDocument('application/json; charset=utf-8', half));
  t.true(isPartialDocument('application/problem+json', half));
  t.false(isPartialDocument('application/json', Buffer.from('{}')));
  t.false(isPartialDocument('text/plain', half));
  t.false(isPartialDocument(undefined, half));
});
