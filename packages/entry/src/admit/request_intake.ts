/**
 * Admits requests: assigns an id, identifies the caller, registers the request
 * as in flight, and refuses it when it fails before its answer begins.
 */

import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Metrics} from '@snipestage/log/metrics.js';
import {brandAs, type RequestId} from '@snipestage/types/ids.js';
import {refusalOf, sendRefusal} from '../answer/refusal_response.js';
import type {MonotonicClock} from '../clock.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import {identify, type Caller} from '../identify/identify.js';
import type {InFlightRequest, InFlightRequests} from './in_flight_requests.js';

/** A request whose caller is known. */
export interface AdmittedRequest {
  readonly id: RequestId;
  readonly caller: Caller;
  readonly arrivedAtMs: number;
  /** Aborts when the request is to end. */
  readonly signal: AbortSignal;
  readonly inFlight: InFlightRequest;
}

/** Serves an admitted request; an error that it throws becomes the refusal. */
export type RequestHandler = (admitted: AdmittedRequest) => Promise<void>;

/** Options of {@link RequestIntake}. */
export interface RequestIntakeOptions {
  readonly store: ConfigurationStore;
  readonly inFlight: InFlightRequests;
  readonly clock: MonotonicClock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
}

/** Entry point of all callers' requests except health checks. */
export class RequestIntake {
  constructor(private readonly options: RequestIntakeOptions) {}

  async serve(
    request: IncomingMessage,
    response: ServerResponse,
    handler: RequestHandler,
  ): Promise<void> {
    const id = brandAs<RequestId>(randomUUID());
    let admitted: AdmittedRequest | undefined;
    try {
      admitted = this.admit(id, request);
      const stopWatching = abortOnDisconnect(response, admitted);
      try {
        await handler(admitted);
        this.measure(admitted);
      } finally {
        stopWatching();
        this.options.inFlight.remove(id);
      }
    } catch (error) {
      this.report(id, error, admitted);
      sendRefusal(response, refusalOf(error), id);
    }
  }

  private admit(id: RequestId, request: IncomingMessage): AdmittedRequest {
    const {store, clock, inFlight, isReady} = this.options;
    if (!isReady()) {
      throw new RequestError('This instance is not ready.', {
        code: 'not_ready',
        verdict: 'not_run',
        retryAfterMs: 1000,
      });
    }
    const arrivedAtMs = clock();
    const caller = identify(request.headers, store, arrivedAtMs);
    this.checkInFlightLimit(caller);
    const entry: InFlightRequest = {
      id,
      clientAccount: caller.clientAccount.id,
      keyHash: caller.keyHash,
      requestClass: caller.requestClass.id,
      arrivedAtMs,
      abort: new AbortController(),
      mayBeAborted: true,
      phase: 'waiting',
    };
    inFlight.add(entry);
    const {signal} = entry.abort;
    return {id, caller, arrivedAtMs, signal, inFlight: entry};
  }

  private checkInFlightLimit({clientAccount}: Caller): void {
    const limit = clientAccount.maxInFlightPerInstance;
    if (limit === undefined) return;
    if (this.options.inFlight.countOf(clientAccount.id) < limit) return;
    throw new RequestError('The client account has too many requests open.', {
      code: 'overloaded',
      verdict: 'not_run',
      retryAfterMs: 1000,
    });
  }

  private measure(admitted: AdmittedRequest): void {
    const {metrics, clock} = this.options;
    const tags = {class: admitted.caller.requestClass.id};
    metrics.count('requests', 1, {...tags, outcome: 'ok'});
    metrics.timing('request_ms', clock() - admitted.arrivedAtMs, tags);
  }

  private report(
    id: RequestId,
    error: unknown,
    admitted: AdmittedRequest | undefined,
  ): void {
    const refusal = refusalOf(error);
    const requestClass = admitted?.caller.requestClass.id ?? 'unknown';
    this.options.metrics.count('requests', 1, {
      class: requestClass,
      outcome: refusal.code,
    });
    this.options.metrics.count('refusals', 1, {
      class: requestClass,
      code: refusal.code,
      verdict: refusal.verdict,
    });
    const fields = {
      requestId: id,
      code: refusal.code,
      verdict: refusal.verdict,
    };
    if (refusal.code === 'internal' && !(error instanceof RequestError)) {
      this.options.logger.error('request_failed', {
        ...fields,
        error: error instanceof Error ? error.stack : String(error),
      });
    } else {
      this.options.logger.debug('request_refused', fields);
    }
  }
}

/**
 * Aborts a request whose caller has disconnected, so that no engine goes on
 * generating an answer that nobody reads. A request that has started and may
 * not be aborted goes on: aborting it would leave its outcome unknown for good.
 */
function abortOnDisconnect(
  response: ServerResponse,
  admitted: AdmittedRequest,
): () => void {
  const onClose = () => {
    const {inFlight} = admitted;
    if (inFlight.phase !== 'waiting' && !inFlight.mayBeAborted) return;
    inFlight.abort.abort();
  };
  response.once('close', onClose);
  return () => response.off('close', onClose);
}
