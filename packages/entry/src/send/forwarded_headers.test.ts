import test from 'ava';
import {forwardedRequestHeaders} from './forwarded_headers.js';

test('no header that contains the API key is forwarded', t => {
  // A caller repeats its API key in another header. If it were forwarded, the
  // service's logs would contain a key that is valid for all calls of the
  // account.
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
