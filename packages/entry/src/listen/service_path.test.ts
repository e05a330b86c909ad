import {RequestError} from '@snipestage/errors/request_error.js';
import type {Service} from '@snipestage/types/configuration.js';
import test from 'ava';
import {findOperation, parseServicePath} from './service_path.js';

const SERVICE = {
  operations: [
    {method: 'GET', pathPrefix: '/stock', idempotent: true},
    {method: 'POST', pathPrefix: '/bookings', idempotent: false},
  ],
} as unknown as Service;

test('a path is matched in the form that the service receives', t => {
  // A path that starts like a stock lookup can lead to the bookings. Matched as
  // written, the call would be retried after a failure and a tent booked twice.
  const {path} = parseServicePath('/services/booking/stock/../bookings');
  t.is(path, '/bookings');
  t.is(findOperation(SERVICE, 'GET', path), undefined);
  for (const badPath of ['/stock%2f..%2fbookings', '//bookings', '/a\\b']) {
    t.throws(() => parseServicePath(`/services/booking${badPath}`), {
      instanceOf: RequestError,
    });
  }
});

test('a prefix covers whole segments only', t => {
  t.true(findOperation(SERVICE, 'GET', '/stock/7?size=m')?.idempotent);
  t.is(findOperation(SERVICE, 'GET', '/stocktake'), undefined);
});
