import test from 'ava';
import {forwardedRequestHeaders} from './forwarded_headers.js';

test('no header that holds the key goes out', t => {
  // A caller repeats its key in a header of its own. The service's logs would
  // then hold a key that is good for every call of that client account.
  const headers = forwardedRequestHeaders(
    {
      authorization: 'Bearer sk-secret',
      'x-api-key': 'sk-secret',
      cookie: 'a=1; key=sk-secret',
      accept: 'application/json',
      connection: 'keep-alive',
    },
    'sk-secret',
  );
  t.deepEqual(headers, {accept: 'application/json'});
});
