/** Limits what engines get while they are cold after a start. */

import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import type {WarmupLimit} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** What a {@link WarmupGate} is made from; defaults in the brackets. */
export interface WarmupGateOptions {
  /** How long endpoints of a service are cold, and what they bear meanwhile. */
  readonly limitOf: (service: ServiceId) => WarmupLimit | undefined;
  /** How many instances there are, as far as it is known. */
  readonly readInstances: () => number | undefined;
  /** See {@link WarmupTolerance}. */
  readonly tolerance?: WarmupTolerance;
  /** At least 0 and below 1. */
  readonly random?: () => number;
}

/** By how much a cold endpoint's rate may be exceeded; defaults in the brackets. */
export interface WarmupTolerance {
  /** Factor of the rate (1). */
  readonly overage: number;
  /** Requests in a second beyond it (0). */
  readonly slack: number;
}

const NO_TOLERANCE: WarmupTolerance = {overage: 1, slack: 0};
const SECOND_MS = 1000;
/** Instances that have started since they were last counted. */
const MAX_UNCOUNTED_SHARE = 1;
/** Deviations by which the requests of one second may exceed their mean. */
const DEVIATIONS = 5;

interface Admission {
  readonly endsAtMs: number;
  /** Requests that this instance may still send before then. */
  left: number;
}

/**
 * Load pattern: an engine starts, or its data centre is restored, and dozens of
 * instances see an idle engine. It bears a few requests a second from all of
 * them together and crashes well above that.
 *
 * Instances agree without a message: in each second, each one draws whether it
 * may send, with a probability that leaves the sum over all instances below the
 * limit. A network partition changes nothing, since no message is needed.
 */
export class WarmupGate {
  private readonly coldUntilMs = new Map<EndpointId, number>();
  private readonly admissions = new Map<EndpointId, Admission>();
  private readonly random: () => number;
  private readonly tolerance: WarmupTolerance;

  constructor(private readonly options: WarmupGateOptions) {
    this.random = options.random ?? Math.random;
    this.tolerance = options.tolerance ?? NO_TOLERANCE;
  }

  /** An endpoint said that it stays cold for so long; 0: it is warm. */
  noteWarmup(id: EndpointId, leftMs: number, nowMs: number): void {
    if (leftMs > 0) this.coldUntilMs.set(id, nowMs + leftMs);
    else this.forget(id);
  }

  /** An endpoint may have become cold, and has not said so yet. */
  presumeCold(endpoint: ServingEndpoint, nowMs: number): void {
    const limit = this.options.limitOf(endpoint.service);
    if (limit === undefined) return;
    this.noteWarmup(endpoint.id, limit.durationMs, nowMs);
  }

  /**
   * @example
   * const warm = endpoints.filter(each => !gate.isCold(each.id, nowMs));
   */
  isCold(id: EndpointId, nowMs: number): boolean {
    const untilMs = this.coldUntilMs.get(id);
    if (untilMs === undefined) return false;
    if (nowMs < untilMs) return true;
    this.forget(id);
    return false;
  }

  /** How long an endpoint stays cold; 0: it is warm. */
  leftMs(id: EndpointId, nowMs: number): number {
    return this.isCold(id, nowMs) ? this.coldUntilMs.get(id)! - nowMs : 0;
  }

  /** Whether this instance may send a cold endpoint a request now. */
  mayAdmit(endpoint: ServingEndpoint, nowMs: number): boolean {
    return this.admissionOf(endpoint, nowMs).left > 0;
  }

  /** A request is sent to an endpoint. */
  noteSent(endpoint: ServingEndpoint, nowMs: number): void {
    if (!this.isCold(endpoint.id, nowMs)) return;
    this.admissionOf(endpoint, nowMs).left -= 1;
  }

  /** Forgets endpoints that are gone. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.coldUntilMs.keys()) {
      if (!ids.has(id)) this.forget(id);
    }
  }

  private forget(id: EndpointId): void {
    this.coldUntilMs.delete(id);
    this.admissions.delete(id);
  }

  private admissionOf(endpoint: ServingEndpoint, nowMs: number): Admission {
    const existing = this.admissions.get(endpoint.id);
    if (existing !== undefined && nowMs < existing.endsAtMs) return existing;
    const admission = {
      endsAtMs: nowMs + SECOND_MS,
      left: this.draw(endpoint.service),
    };
    this.admissions.set(endpoint.id, admission);
    return admission;
  }

  private draw(service: ServiceId): number {
    const limit = this.options.limitOf(service);
    const instances = this.options.readInstances();
    if (limit === undefined || instances === undefined) return 0;
    const mean =
      meanAdmitted(limit, this.tolerance) /
      (instances * (1 + MAX_UNCOUNTED_SHARE));
    const whole = Math.floor(mean);
    return whole + (this.random() < mean - whole ? 1 : 0);
  }
}

/**
 * Requests that all instances together may send in a second on average. The sum
 * of many draws is Poisson distributed, and any span of a second may hold those
 * of two periods.
 */
function meanAdmitted(
  {requestsPerS}: WarmupLimit,
  {overage, slack}: WarmupTolerance,
): number {
  const most = requestsPerS * overage + slack;
  const half = DEVIATIONS / 2;
  // Solves mean + DEVIATIONS * sqrt(mean) = most.
  const mean = (Math.sqrt(most + half ** 2) - half) ** 2;
  return mean / 2;
}
