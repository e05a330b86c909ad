/** Ends the process without cutting a request. */

import type {Logger} from '@snipestage/log/logger.js';
import {STOP_RETRY_AFTER_MS} from '@snipestage/policy/stop_admission.js';
import type {InFlightRequests} from '../admit/in_flight_requests.js';
import {shuttingDown, type StopGate} from '../admit/stop_gate.js';
import type {MonotonicClock} from '../clock.js';

/** A step of the shutdown that some task has to do. */
export type ShutdownStep = () => void | Promise<void>;

/**
 * How far a shutdown has come.
 *
 * - `finishing`: requests are finished, and those that can be are still taken.
 * - `closing`: every answer has left; counters are written, nothing is taken.
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
  /** Not ready from here on; answers ask to close connections. */
  readonly onBegin: ShutdownStep;
  /** The balancer has noticed: no new connections, roles handed over. */
  readonly onNoNewWork: ShutdownStep;
  /** Resolves when every answer has left the process. */
  readonly whenAnswered: () => Promise<void>;
  /** Nothing runs any more: counters written, peers told, sockets closed. */
  readonly onIdle: ShutdownStep;
}

/**
 * Not ready first, then the balancer's lag, since until it has noticed it goes
 * on sending new connections, and closing the listener at once would refuse
 * them. Then the listener closes, and what runs finishes. From the first moment
 * nothing starts that could not be finished by the end.
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

  /** Runs once, however often it is asked for. */
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
    const graceOver = sleep(endsAtMs - clock()).then(() => this.endAll());
    await sleep(balancerLagMs);
    await this.options.onNoNewWork();
    await Promise.race([this.whenServed(), graceOver]);
    await inFlight.whenNone();
    this.hasEnded = true;
    // Nobody waits for requests any more: one that came now would be cut.
    gate.close(clock());
    await this.options.onIdle();
    logger.info('shutdown_done');
  }

  /** While the last answer goes out, another request may have come. */
  private async whenServed(): Promise<void> {
    const {inFlight, whenAnswered} = this.options;
    do {
      await inFlight.whenNone();
      await whenAnswered();
    } while (inFlight.count > 0);
  }

  private endAll(): void {
    const {inFlight, logger} = this.options;
    if (this.hasEnded) return;
    logger.warn('shutdown_grace_over', {inFlight: inFlight.count});
    inFlight.endAll(shuttingDown(STOP_RETRY_AFTER_MS));
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
