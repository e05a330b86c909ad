/** Calls that a platform stand-in received, for tests to assert on. */

import type {IncomingHttpHeaders} from 'node:http';
import type {
  EndpointOrder,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {Call} from '../http/stand_in_server.js';

/** One arrival of an order or report. */
export interface Received<T> {
  readonly receivedAtEpochMs: number;
  /** Headers without the token; they identify the sender. */
  readonly headers: IncomingHttpHeaders;
  /** The status of the answer. */
  readonly status: number;
  /** Whether the answer was lost by the fault `lose_answer`. */
  readonly answerLost: boolean;
  readonly content: T;
}

/** Number of calls of each kind. */
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

/** Makes the log entry of a call: its content and how it was answered. */
export function toReceived<T>(
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
