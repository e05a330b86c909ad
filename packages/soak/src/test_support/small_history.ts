/** Builds small histories, of which tests change some values. */

import type {Run} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import {
  brandAs,
  type ClientAccountId,
  type InstanceId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {BOUNDS} from '../bounds.js';
import {History, type SentRequest} from '../history.js';

export const INSTANCE = brandAs<InstanceId>('akl-a-1');
/** A request that was sent at 10 s and answered, unless changed. */
export function makeRequest(changes: Partial<SentRequest> = {}): SentRequest {
  return {
    requestId: 'r1',
    instance: INSTANCE,
    processNumber: 1,
    kind: 'non_idempotent',
    isResumable: false,
    maxAttempts: 2,
    path: '/book/1',
    bodyDigest: 'body',
    key: 'key-1',
    clientAccount: brandAs<ClientAccountId>('shop-1'),
    marker: undefined,
    callerTimeoutMs: 1500,
    sentAtMs: 10_000,
    lastByteAtMs: 10_001,
    endedAtMs: 10_050,
    outcome: {
      kind: 'answered',
      status: 200,
      signature: 's1',
      answeredRequestId: 'r1',
      bodyDigest: 'answer',
    },
    ...changes,
  };
}

/** The run of {@link makeRequest} at an endpoint, unless changed. */
export function makeRun(changes: Partial<Run> = {}): Run {
  return {
    requestId: 'r1',
    endpoint: 'booking-0.1',
    service: brandAs<ServiceId>('bookings'),
    path: '/book/1',
    clientAccount: 'shop-1',
    hasKey: false,
    bodyDigest: 'body',
    arrivedAtMs: 10_010,
    timeLeftMs: 1480,
    signature: 's1',
    softwareVersion: 'v1',
    hasRun: true,
    answerDigest: 'answer',
    status: 200,
    ...changes,
  };
}

/** A history of these requests and runs in which nothing was disturbed. */
export function makeHistory(
  requests: readonly SentRequest[],
  runs: readonly Run[],
): History {
  const history = new History(BOUNDS);
  history.requests.push(...requests);
  history.addRuns(runs);
  return history;
}
