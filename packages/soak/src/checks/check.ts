/** Base of the checks, each of one guarantee of the system. */

import type {History, SentRequest} from '../history.js';

/** A violation of a guarantee. */
export interface Finding {
  readonly check: string;
  readonly message: string;
  readonly requestId?: string;
  readonly atMs: number;
}

/** Searches a history for violations of one guarantee. */
export abstract class Check {
  abstract readonly name: string;
  abstract find(history: History): readonly Finding[];

  protected found(message: string, atMs: number): Finding {
    return {check: this.name, message, atMs};
  }

  protected foundFor(request: SentRequest, message: string): Finding {
    const {requestId, sentAtMs, instance, path} = request;
    const where = `${path} at ${instance}`;
    return {
      check: this.name,
      message: `${message} (${where}, ${describeOutcome(request)})`,
      requestId,
      atMs: sentAtMs,
    };
  }
}

/** Whether a request of this kind must not run more than once. */
export function mayRunOnlyOnce({kind, isResumable}: SentRequest): boolean {
  return kind === 'non_idempotent' || (kind === 'stream' && !isResumable);
}

/** What a request met: the status of its answer, or why it has none. */
export function describeOutcome({outcome}: SentRequest): string {
  if (outcome === undefined) return 'not ended';
  return outcome.kind === 'answered' ? `${outcome.status}` : outcome.kind;
}
