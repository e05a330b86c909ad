/** Distinguishes crashes of endpoints from answers that were merely lost. */

import type {EndpointId, Fingerprint} from '@snipestage/types/ids.js';

/** Options of {@link CrashDetector}; default in brackets. */
export interface CrashDetectorOptions {
  /**
   * An endpoint that breaks off answers and can't be reached within this time
   * has crashed (3,000 ms): endpoints are back after some seconds.
   */
  readonly confirmWithinMs?: number;
}

const DEFAULT_CONFIRM_WITHIN_MS = 3000;

interface BrokenRequest {
  readonly fingerprint: Fingerprint;
  readonly atMs: number;
}

/**
 * Finds the requests that were running on an endpoint when it crashed. A
 * request that crashes each endpoint that runs it, and is repeated, takes down
 * a data centre one endpoint at a time. A broken answer alone is no crash:
 * networks lose answers of healthy endpoints too, and a caller that sends the
 * same request twice would be refused. Only an endpoint that then refuses
 * connections, or starts a new incarnation, has crashed.
 */
export class CrashDetector {
  private readonly broken = new Map<EndpointId, BrokenRequest[]>();
  private readonly confirmWithinMs: number;

  constructor(options: CrashDetectorOptions = {}) {
    this.confirmWithinMs = options.confirmWithinMs ?? DEFAULT_CONFIRM_WITHIN_MS;
  }

  /** An answer broke off. */
  noteBroken(id: EndpointId, fingerprint: Fingerprint, nowMs: number): void {
    const requests = this.recent(id, nowMs);
    requests.push({fingerprint, atMs: nowMs});
    this.broken.set(id, requests);
  }

  /** The endpoint answered: earlier broken answers were no crash. */
  noteAnswered(id: EndpointId): void {
    this.broken.delete(id);
  }

  /**
   * The endpoint refused a connection or started a new incarnation.
   *
   * @returns the requests whose answers broke off shortly before; may be empty.
   * @example
   * const suspects = detector.confirmCrash(endpoint.id, nowMs);
   */
  confirmCrash(id: EndpointId, nowMs: number): readonly Fingerprint[] {
    const requests = this.recent(id, nowMs);
    this.broken.delete(id);
    return [...new Set(requests.map(({fingerprint}) => fingerprint))];
  }

  private recent(id: EndpointId, nowMs: number): BrokenRequest[] {
    const requests = this.broken.get(id) ?? [];
    return requests.filter(({atMs}) => nowMs - atMs < this.confirmWithinMs);
  }
}
