/** Ends the process without cutting a request. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {InFlightRequests} from '../admit/in_flight_requests.js';

/** A step of the shutdown that some task has to do. */
export type ShutdownStep = () => void | Promise<void>;

/** Options of {@link Shutdown}. */
export interface ShutdownOptions {
  readonly balancerLagMs: number;
  readonly graceMs: number;
  readonly inFlight: InFlightRequests;
  readonly logger: Logger;
  /** Not ready from here on; answers ask to close connections. */
  readonly onBegin: ShutdownStep;
  /** The balancer has noticed: no new connections, roles handed over. */
  readonly onNoNewWork: ShutdownStep;
  /** Nothing runs any more: counters written, peers told, sockets closed. */
  readonly onIdle: ShutdownStep;
}

/**
 * Not ready first, then the balancer's lag, since until it has noticed it goes
 * on sending new connections, and closing the listener at once would refuse
 * them. Then the listener closes, and what runs finishes.
 */
export class Shutdown {
  private started: Promise<void> | undefined;

  constructor(private readonly options: ShutdownOptions) {}

  get hasBegun(): boolean {
    return this.started !== undefined;
  }

  /** Runs once, however often it is asked for. */
  begin(): Promise<void> {
    this.started ??= this.run();
    return this.started;
  }

  private async run(): Promise<void> {
    const {inFlight, logger} = this.options;
    logger.info('shutdown_begun', {inFlight: inFlight.count});
    await this.options.onBegin();
    await sleep(this.options.balancerLagMs);
    await this.options.onNoNewWork();
    await this.waitForRequests();
    await this.options.onIdle();
    logger.info('shutdown_done');
  }

  private async waitForRequests(): Promise<void> {
    const {inFlight, graceMs, logger} = this.options;
    const timer = setTimeout(() => {
      logger.warn('shutdown_grace_over', {inFlight: inFlight.count});
      inFlight.endAll(
        new RequestError('The instance is shutting down.', {
          code: 'shutting_down',
          verdict: 'not_run',
          retryAfterMs: 1000,
        }),
      );
    }, graceMs);
    await inFlight.whenNone();
    clearTimeout(timer);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
