import test from 'ava';
import got from 'got';
import {ServiceStandIn} from './service_stand_in.js';

test('a booking that is sent again after a lost answer is recorded twice', async t => {
  // The service makes the booking, and the connection breaks before the answer.
  // A caller that sends the request again charges the customer twice.
  const service = new ServiceStandIn();
  await service.start();
  const book = () =>
    got.post(`${service.url}/bookings`, {
      headers: {'x-request-id': 'attempt-1'},
      json: {item: 'tent'},
      retry: {limit: 0},
    });
  service.control({faults: {records: {mode: 'lose_answer', count: 1}}});
  await t.throwsAsync(book(), {code: 'ECONNRESET'});
  t.deepEqual(service.doubles(), []);
  t.is((await book()).headers['x-request-id'], 'attempt-1');
  t.deepEqual(service.doubles(), [{item: 'tent'}]);
  await service.stop();
});
