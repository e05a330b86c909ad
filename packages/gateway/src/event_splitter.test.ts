import test from 'ava';
import fc from 'fast-check';
import {EventSplitter} from './event_splitter.js';

const LINE_ENDINGS = ['\n', '\r\n', '\r'];

test('events end with a blank line, whatever the line endings', t => {
  // Guards against streams that never seem to have an event, or never to be
  // inside one, since their endpoint ends its lines with a carriage return.
  const ending = fc.constantFrom(...LINE_ENDINGS);
  const endings = fc
    .array(ending, {minLength: 6, maxLength: 6})
    // These two characters end one line, so that no blank line follows it.
    .filter(([, b, c, , e, f]) => ![b + c, e + f].includes('\r\n'));
  fc.assert(
    fc.property(endings, fc.boolean(), ([a, b, c, d, e, f], hasMark) => {
      const mark = hasMark ? '\u{feff}' : '';
      const text = `${mark}id: 1${a}data: x${b}${c}id: 2${d}data: y${e}${f}`;
      const splitter = new EventSplitter();
      const bytes = Buffer.from(text);
      const events = [...bytes].flatMap(byte => splitter.push(Buffer.of(byte)));
      events.push(...splitter.end());
      const out = events.map(each => each.bytes.toString()).join('');
      const ids = events.map(each => each.id);
      return (
        ids.join() === '1,2' &&
        !splitter.hasPartialEvent &&
        out + splitter.takeRest().toString() === text
      );
    }),
  );
  t.pass();
});

test('whole comment lines and blank lines at the end are no part of an event', t => {
  const rests: ReadonlyArray<readonly [string, boolean]> = [
    ['', false],
    ['\n', false],
    [': ping\n', false],
    [': pi', true],
    ['id: 2', true],
    ['id: 2\n', true],
    ['id: 2\r\ndata: b\r', true],
  ];
  for (const [rest, isPartial] of rests) {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(`data: a\n\n${rest}`));
    t.is(splitter.hasPartialEvent, isPartial, JSON.stringify(rest));
  }
});

test('a block without data or an id is no event', t => {
  const splitter = new EventSplitter();
  splitter.push(Buffer.from(': hello\n\nretry: 100\n\n'));
  t.is(splitter.eventCount, 0);
});

test('events are complete however the bytes are split', t => {
  const events = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: bb\r\n\r\n', ': c\n\n'];
  const bytes = Buffer.from(events.join(''));
  fc.assert(
    fc.property(fc.array(fc.integer({min: 0, max: bytes.length})), cuts => {
      const splitter = new EventSplitter();
      const points = [0, ...cuts.sort((a, b) => a - b), bytes.length];
      const out = points
        .slice(1)
        .flatMap((point, index) =>
          splitter.push(bytes.subarray(points[index], point)),
        );
      const texts = out.map(event => event.bytes.toString());
      return (
        texts.join('|') === events.join('|') && splitter.takeRest().length === 0
      );
    }),
  );
  t.pass();
});

test('returns the id of an event and keeps the bytes after it', t => {
  const splitter = new EventSplitter();
  const [event] = splitter.push(Buffer.from('x: 1\nid: 42\ndata: a\n\nid: 43'));
  t.is(event.id, '42');
  t.is(splitter.takeRest().toString(), 'id: 43');
});
