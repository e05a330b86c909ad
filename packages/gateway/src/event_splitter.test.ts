import test from 'ava';
import fc from 'fast-check';
import {EventSplitter} from './event_splitter.js';

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
