/** Records the attempts of one request by endpoint and data centre. */

import type {DataCentreId, EndpointId} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** What the next attempt needs to know of a failed one. */
export interface AttemptFailure {
  readonly verdict: Verdict;
  /** The endpoint received the request, whether or not it ran it. */
  readonly hasArrived: boolean;
  /** The connection attempt got no answer. */
  readonly hasTimedOut: boolean;
  /** The connection was opened, but nothing was sent over it (false). */
  readonly wasWithheld?: boolean;
  /**
   * The connection broke between this instance and the one that forwarded it,
   * without the endpoint's doing (false).
   */
  readonly hasPathBroken?: boolean;
}

/**
 * Refused connections to endpoints of one data centre after which a request
 * goes to another. One refusal may be a restart; two suggest an outage of the
 * whole data centre.
 */
const REFUSALS_TO_AVOID = 2;

/** Counts the attempts of one request. */
export class AttemptHistory {
  private readonly triedIds = new Set<EndpointId>();
  private readonly excludedIds = new Set<EndpointId>();
  private readonly avoidedCentres = new Set<DataCentreId>();
  private readonly refusals = new Map<DataCentreId, number>();
  private runCount = 0;
  private offerCount = 0;
  private unreachedCount = 0;

  /** Endpoints that were tried, in the order of the attempts. */
  get tried(): ReadonlySet<EndpointId> {
    return this.triedIds;
  }

  /** Endpoints that must not be tried again. */
  get excluded(): ReadonlySet<EndpointId> {
    return this.excludedIds;
  }

  /** Data centres with a connection time-out or repeated refusals. */
  get avoided(): ReadonlySet<DataCentreId> {
    return this.avoidedCentres;
  }

  /** Number of failed or withdrawn attempts that may have run the request. */
  get runs(): number {
    return this.runCount;
  }

  /** Number of failed attempts in which the endpoint got the request. */
  get offers(): number {
    return this.offerCount;
  }

  /** Number of attempts for which no connection could be opened. */
  get unreached(): number {
    return this.unreachedCount;
  }

  begin(endpoint: ServingEndpoint): void {
    this.triedIds.add(endpoint.id);
    this.excludedIds.add(endpoint.id);
  }

  /**
   * Records that an attempt was cancelled as another endpoint has the request.
   * Its endpoint may have run it.
   */
  withdraw(verdict: Verdict): void {
    if (verdict === 'not_run') return;
    this.runCount += 1;
    this.offerCount += 1;
  }

  /**
   * Whether the request may be sent to another endpoint by its limit on
   * attempts that may run it.
   *
   * @param limits `inProgress` counts attempts that have not ended and may run
   *   the request.
   * @example
   * const mayAsk = history.mayRunAgain({maxAttempts: 2, inProgress: 1});
   */
  mayRunAgain(limits: {
    readonly maxAttempts: number;
    readonly inProgress: number;
  }): boolean {
    return this.runCount + limits.inProgress < limits.maxAttempts;
  }

  /**
   * Records how an attempt failed.
   *
   * @example
   * history.fail(endpoint, {verdict, hasArrived: true, hasTimedOut: false});
   */
  fail(endpoint: ServingEndpoint, failure: AttemptFailure): void {
    if (failure.verdict !== 'not_run') this.runCount += 1;
    // The endpoint may still be reached by another path.
    if (failure.hasPathBroken === true) this.excludedIds.delete(endpoint.id);
    if (failure.hasArrived) {
      this.offerCount += 1;
      return;
    }
    if (failure.wasWithheld === true) return;
    this.unreachedCount += 1;
    this.avoidUnreached(endpoint.dataCentre, failure.hasTimedOut);
  }

  private avoidUnreached(dataCentre: DataCentreId, hasTimedOut: boolean): void {
    const refusals = (this.refusals.get(dataCentre) ?? 0) + 1;
    this.refusals.set(dataCentre, refusals);
    if (hasTimedOut || refusals >= REFUSALS_TO_AVOID) {
      this.avoidedCentres.add(dataCentre);
    }
  }
}
