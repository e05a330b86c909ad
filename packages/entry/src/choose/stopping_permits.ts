/** Gives no permit to an attempt that a stopping instance can't finish. */

import type {StopGate} from '../admit/stop_gate.js';
import {Permits, type Permit, type PermitRequest} from './permits.js';

/** Options of {@link StoppingPermits}. */
export interface StoppingPermitsOptions {
  readonly permits: Permits;
  readonly gate: StopGate;
}

/**
 * All attempts ask here, whichever way their request came. A request that waits
 * is refused as soon as it is too late for it: given its place at an endpoint in
 * the last moment, it would run and be cut.
 *
 * One that may have run already is let through. A refusal could no longer say
 * that it has not, and its caller, who may have read half an answer, would lose
 * the part of the grace time in which another endpoint may well finish it.
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
