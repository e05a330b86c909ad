import test from 'ava';
import fc from 'fast-check';
import {endsInsideJson} from './json_end.js';

test('each part of a JSON object ends inside it, and the object does not', t => {
  // Guards against a large document that broke off and looks complete.
  fc.assert(
    fc.property(fc.object(), object => {
      const bytes = Buffer.from(JSON.stringify(object));
      const isPartial = Array.from({length: bytes.length - 1}, (_, index) =>
        endsInsideJson(bytes.subarray(0, index + 1)),
      );
      return isPartial.every(Boolean) && !endsInsideJson(bytes);
    }),
  );
  t.pass();
});
