/** What a failed attempt says of its endpoint. */

import type {AttemptOutcome} from '@snipestage/types/permits.js';
import type {EndpointError, EndpointErrorKind} from './endpoint_error.js';

const OUTCOMES: Readonly<Record<EndpointErrorKind, AttemptOutcome>> = {
  unreachable: 'crashed',
  broken: 'crashed',
  silent: 'timeout',
  refused: 'failed',
  errored: 'failed',
  mismatched: 'failed',
  cancelled: 'cancelled',
};

/**
 * The outcome that goes with a failure. A connection that ends by itself and
 * one that can't be made both look like a crash; the probe that follows tells.
 *
 * @example
 * permit.release({outcome: outcomeOf(error)});
 */
export function outcomeOf(error: EndpointError): AttemptOutcome {
  return OUTCOMES[error.kind];
}
