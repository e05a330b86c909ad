import test from 'ava';
import fc from 'fast-check';
import {CollectedBytes} from './collected_bytes.js';

test('parts of any size come back in their order', t => {
  const part = fc.uint8Array({maxLength: 3000});
  fc.assert(
    fc.property(fc.array(part), parts => {
      const collected = new CollectedBytes();
      for (const each of parts) collected.append(Buffer.from(each));
      const expected = Buffer.concat(parts);
      return (
        collected.length === expected.length &&
        collected.take().equals(expected) &&
        collected.length === 0
      );
    }),
  );
  t.pass();
});
