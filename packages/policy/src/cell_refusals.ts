/**
 * Refuses requests that a cell can't serve: too late, too many, no endpoint.
 */

import type {PermitRefusal} from '@snipestage/types/permits.js';
import type {CellState} from './cell_state.js';
import type {WaitingRequest} from './dispatch_queue.js';

/** Basis of the retry delay when it is unknown when a retry could succeed. */
const DEFAULT_RETRY_WAIT_MS = 1000;

/** Options of {@link CellRefusals}. */
export interface CellRefusalsOptions {
  readonly state: CellState;
  readonly maxWaiting: number;
}

/**
 * Decides on refusals; only waiting requests are refused, never running ones.
 */
export class CellRefusals {
  private readonly state: CellState;

  constructor(private readonly options: CellRefusalsOptions) {
    this.state = options.state;
  }

  /**
   * Refuses a request that no endpoint could ever run; true if it was refused.
   */
  refuseUnservable(request: WaitingRequest): boolean {
    const {endpoints} = this.state;
    if (!endpoints.known || endpoints.canEverRun(request.ask)) return false;
    this.refuse(request, 'no_endpoint', DEFAULT_RETRY_WAIT_MS);
    return true;
  }

  /** Checks all waiting requests after a change of the endpoints. */
  refuseAllUnservable(): void {
    for (const request of this.state.policy.queue.all()) {
      this.refuseUnservable(request);
    }
  }

  /** Refuses a request that can't meet its deadline; true if it was refused. */
  refuseUnreachable(
    request: WaitingRequest,
    waitMs: number,
    nowMs: number,
  ): boolean {
    const {endpoints, meter} = this.state;
    const {deadlineAtMs, ask} = request;
    const usableAtMs = endpoints.usableAtMs(ask, nowMs);
    if (usableAtMs > deadlineAtMs) {
      this.refuse(request, 'no_endpoint', usableAtMs - nowMs);
      return true;
    }
    const firstTokenAtMs = nowMs + waitMs + meter.firstTokenMs;
    if (firstTokenAtMs <= deadlineAtMs) return false;
    const lateMs = firstTokenAtMs - deadlineAtMs;
    this.refuse(request, 'deadline_unreachable', lateMs);
    return true;
  }

  /**
   * Keeps the queue within its limit; the queue chooses which request to shed.
   */
  shed(incoming: WaitingRequest): void {
    const {queue} = this.state.policy;
    if (queue.countAgainstLimit() <= this.options.maxWaiting) return;
    const victim = queue.chooseVictim(incoming);
    const waitMs = queue.expectedWaitMs(victim, this.state.meter);
    this.refuse(victim, 'overloaded', waitMs);
  }

  /**
   * Refuses waiting requests whose first token would be late if granted now.
   */
  refuseLate(nowMs: number): void {
    const {policy, meter} = this.state;
    const latestMs = nowMs + meter.firstTokenMs;
    for (const request of policy.queue.all()) {
      if (request.deadlineAtMs > latestMs) continue;
      const waitMs = policy.queue.expectedWaitMs(request, meter);
      this.refuse(request, 'deadline_unreachable', waitMs);
    }
  }

  private refuse(
    {ask, instance}: WaitingRequest,
    reason: PermitRefusal['reason'],
    waitMs: number,
  ): void {
    const {counters, meter, random} = this.state;
    this.state.removeWaiting(ask.attempt);
    if (reason === 'overloaded') counters.refusedOverloaded++;
    if (reason === 'deadline_unreachable') counters.refusedDeadline++;
    if (reason === 'no_endpoint') counters.refusedNoEndpoint++;
    const retryAfterMs = meter.retryAfterMs(waitMs, random());
    const refusal = {attempt: ask.attempt, reason, retryAfterMs};
    this.state.send({kind: 'refuse', instance, refusal});
  }
}
