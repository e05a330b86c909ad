import {MAX_BACKOFF_MS} from '@snipestage/types/backoff.js';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import test from 'ava';
import {EndpointAnnouncements} from './endpoint_announcements.js';

test('no endpoint is left out for longer than an hour', t => {
  // Guards against one answer that excludes its endpoint until it restarts.
  const announcements = new EndpointAnnouncements();
  const endpoint = {id: brandAs<EndpointId>('one'), bornEpochMs: 1};
  announcements.noteBackoff(endpoint, Number.POSITIVE_INFINITY, 0);
  t.is(announcements.backoffLeftMs(endpoint, 0), MAX_BACKOFF_MS);
});
