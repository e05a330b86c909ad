/** Graceful shutdown: lets requests finish before the process ends. */

import type {Logger} from '@snipestage/log/logger.js';
import {STOP_RETRY_AFTER_MS} from '@snipestage/policy/stop_admission.js';
import type {InFlightRequests} from '../admit/in_flight_requests.js';
import {shuttingDown, type StopGate} from '../admit/stop_gate.js';
import type {MonotonicClock} from '../clock.js';

/** A step of the shutdown that other parts carry out. */
export type ShutdownStep = () => void | Promise<void>;

/**
 * Progress of a shutdown.
 *
 * - `finishing`: requests run to their end; new ones that can finish in time
 *   are still accepted.
 * - `closing`: no request runs any more and, unless the grace time ran out,
 *   every answer has been sent; counters are written, and nothing is accepted.
 */
export type ShutdownPhase = 'none' | 'finishing' | 'closing';

/** Options of {@link Shutdown}. */
export interface ShutdownOptions {
  readonly balancerLagMs: number;
  readonly graceMs: number;
  readonly inFlight: InFlightRequests;
  readonly gate: StopGate;
  readonly clock: MonotonicClock;
  readonly logger: Logger;
  /**
   * Called at the start: the instance reports not ready from now on, and
   * answers ask callers to close connections.
   */
  readonly onBegin: ShutdownStep;
  /**
   * Called when the balancer has noticed: accepts no new connections and hands
   * over roles.
   */
  readonly onNoNewWork: ShutdownStep;
  /** Resolves when every answer has left the process. */
  readonly whenAnswered: () => Promise<void>;
  /**
   * Called when nothing runs any more: writes counters, ends the peer network
   * and closes sockets.
   */
  readonly onIdle: ShutdownStep;
}

/**
 * Reports not ready first, then waits for the balancer's lag: until the
 * balancer has noticed, it goes on sending new connections, which would be
 * refused if the listener closed at once. Then the listener closes, and running
 * requests finish or are ended when the grace time is over. From the start on,
 * no request is started that couldn't finish by the end of the grace time.
 */
export class Shutdown {
  private started: Promise<void> | undefined;
  private hasEnded = false;

  constructor(private readonly options: ShutdownOptions) {}

  get hasBegun(): boolean {
    return this.started !== undefined;
  }

  get phase(): ShutdownPhase {
    if (!this.hasBegun) return 'none';
    return this.hasEnded ? 'closing' : 'finishing';
  }

  /** Starts the shutdown once; later calls return the same promise. */
  begin(): Promise<void> {
    this.started ??= this.run();
    return this.started;
  }

  private async run(): Promise<void> {
    const {inFlight, gate, clock, logger} = this.options;
    const {balancerLagMs, graceMs} = this.options;
    logger.info('shutdown_begun', {inFlight: inFlight.count});
    const endsAtMs = clock() + balancerLagMs + graceMs;
    gate.close(endsAtMs);
    await this.options.onBegin();
    const graceOver = sleep(endsAtMs - clock()).then(() => this.abortAll());
    await sleep(balancerLagMs);
    await this.options.onNoNewWork();
    await Promise.race([this.whenServed(), graceOver]);
    await inFlight.whenEmpty();
    this.hasEnded = true;
    // The shutdown doesn't wait for requests any more: one that started now
    // would be cut off.
    gate.close(clock());
    await this.options.onIdle();
    logger.info('shutdown_done');
  }

  /**
   * Repeats the wait, because another request may arrive while the last answer
   * is sent.
   */
  private async whenServed(): Promise<void> {
    const {inFlight, whenAnswered} = this.options;
    do {
      await inFlight.whenEmpty();
      await whenAnswered();
    } while (inFlight.count > 0);
  }

  private abortAll(): void {
    const {inFlight, logger} = this.options;
    if (this.hasEnded) return;
    logger.warn('shutdown_grace_over', {inFlight: inFlight.count});
    inFlight.abortAll(shuttingDown(STOP_RETRY_AFTER_MS));
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
