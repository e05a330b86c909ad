/** Maps errors of attempts to the outcomes that are reported for endpoints. */

import type {AttemptOutcome} from '@snipestage/types/permits.js';
import type {EndpointError, EndpointErrorKind} from './endpoint_error.js';

const OUTCOMES: Readonly<Record<EndpointErrorKind, AttemptOutcome>> = {
  unreachable: 'crashed',
  broken: 'crashed',
  silent: 'timeout',
  refused: 'failed',
  errored: 'failed',
  mismatched: 'failed',
  withheld: 'cancelled',
  cancelled: 'cancelled',
};

/**
 * The outcome to report for a failed attempt. A connection that breaks off and
 * one that can't be opened both count as a crash; the probe that follows shows
 * whether the endpoint has crashed.
 *
 * @example
 * permit.release({outcome: outcomeOf(error)});
 */
export function outcomeOf(error: EndpointError): AttemptOutcome {
  return OUTCOMES[error.kind];
}
