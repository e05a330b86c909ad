/** Refuses attempts that a stopping instance can't finish. */

import type {StopGate} from '../admit/stop_gate.js';
import {Permits, type Permit, type PermitRequest} from './permits.js';

/** Options of {@link StoppingPermits}. */
export interface StoppingPermitsOptions {
  readonly permits: Permits;
  readonly gate: StopGate;
}

/**
 * Checks every attempt, however its request arrived. A waiting request is
 * refused as soon as it is too late for it to finish: granted an endpoint at
 * the last moment, it would start and then be cut off.
 *
 * A request that may already have run isn't checked. A refusal could no longer
 * say that it hasn't run, and its caller, who may have read half an answer,
 * would lose the rest of the grace time, in which another endpoint may well
 * finish it.
 */
export class StoppingPermits extends Permits {
  constructor(private readonly options: StoppingPermitsOptions) {
    super();
  }

  acquire(request: PermitRequest, signal: AbortSignal): Promise<Permit> {
    const {permits, gate} = this.options;
    if (request.mayHaveRun === true) return permits.acquire(request, signal);
    return gate.whileStartable(request.limit, signal, either =>
      permits.acquire(request, either),
    );
  }
}
