/** Gives no permit to an attempt that a stopping instance can't finish. */

import type {StopGate} from '../admit/stop_gate.js';
import {Permits, type Permit, type PermitRequest} from './permits.js';

/** Options of {@link StoppingPermits}. */
export interface StoppingPermitsOptions {
  readonly permits: Permits;
  readonly gate: StopGate;
}

/**
 * All attempts ask here, repeated ones too, whichever way their request came. A
 * request that waits is refused as soon as it is too late for it: given its
 * place at an endpoint in the last moment, it would run and be cut.
 */
export class StoppingPermits extends Permits {
  constructor(private readonly options: StoppingPermitsOptions) {
    super();
  }

  acquire(request: PermitRequest, signal: AbortSignal): Promise<Permit> {
    const {permits, gate} = this.options;
    return gate.whileStartable(request.limit, signal, either =>
      permits.acquire(request, either),
    );
  }
}
