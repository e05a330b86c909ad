/** What a platform stand-in was asked, for tests to assert on. */

import type {IncomingHttpHeaders} from 'node:http';
import type {
  EndpointOrder,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {Call} from '../http/stand_in_server.js';

/** One order or report, each time that it arrived. */
export interface Received<T> {
  readonly receivedAtEpochMs: number;
  /** Headers without the token; says who sent it. */
  readonly headers: IncomingHttpHeaders;
  /** The status that answered it. */
  readonly status: number;
  /** Whether its answer was lost. */
  readonly answerLost: boolean;
  readonly content: T;
}

/** How often each kind of call came. */
export interface CallCounts {
  reads: number;
  scans: number;
  transactions: number;
  objectReads: number;
  objectWrites: number;
  lists: number;
}

/** Orders and reports in order of arrival. */
export class PlatformLog {
  readonly orders: Array<Received<EndpointOrder>> = [];
  readonly reports: Array<Received<UsageReport>> = [];
  readonly calls: CallCounts = {
    reads: 0,
    scans: 0,
    transactions: 0,
    objectReads: 0,
    objectWrites: 0,
    lists: 0,
  };
}

/** Notes what a call carried and how it was answered. */
export function received<T>(
  call: Call,
  content: T,
  status: number,
): Received<T> {
  const headers = {...call.request.headers};
  delete headers.authorization;
  return {
    receivedAtEpochMs: Date.now(),
    headers,
    status,
    answerLost: call.fault.mode === 'lose_answer',
    content,
  };
}
