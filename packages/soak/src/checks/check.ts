/** A promise of the system, checked on what was seen. */

import type {History, SentRequest} from '../history.js';

/** A promise that was broken. */
export interface Finding {
  readonly check: string;
  readonly what: string;
  readonly requestId?: string;
  readonly atMs: number;
}

/** Looks through a history for what breaks one promise. */
export abstract class Check {
  abstract readonly name: string;
  abstract find(history: History): readonly Finding[];

  protected found(what: string, atMs: number): Finding {
    return {check: this.name, what, atMs};
  }

  protected foundFor(request: SentRequest, what: string): Finding {
    const {requestId, sentAtMs, instance, path} = request;
    const where = `${path} at ${instance}`;
    return {
      check: this.name,
      what: `${what} (${where}, ${describeOutcome(request)})`,
      requestId,
      atMs: sentAtMs,
    };
  }
}

/** Whether a request of this kind may run once only. */
export function mayRunOnce({kind, isResumable}: SentRequest): boolean {
  return kind === 'non_idempotent' || (kind === 'stream' && !isResumable);
}

function describeOutcome({outcome}: SentRequest): string {
  if (outcome === undefined) return 'not ended';
  return outcome.kind === 'answered' ? `${outcome.status}` : outcome.kind;
}
