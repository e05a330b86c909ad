/** Limits requests to endpoints that are cold after a start. */

import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import type {WarmupLimit} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link WarmupGate}; defaults in brackets. */
export interface WarmupGateOptions {
  /** How long endpoints of a service are cold, and which rate they take. */
  readonly limitOf: (service: ServiceId) => WarmupLimit | undefined;
  /** Number of instances; undefined while not known. */
  readonly readInstances: () => number | undefined;
  /** See {@link WarmupTolerance}. */
  readonly tolerance?: WarmupTolerance;
  /** At least 0 and below 1. */
  readonly random?: () => number;
}

/** By how much a cold endpoint's rate may be exceeded; defaults in brackets. */
export interface WarmupTolerance {
  /** Factor of the rate (1). */
  readonly overage: number;
  /** Requests in a second in addition (0). */
  readonly slack: number;
}

const NO_TOLERANCE: WarmupTolerance = {overage: 1, slack: 0};
const SECOND_MS = 1000;
/** Instances that have started since they were last counted, as a share. */
const MAX_UNCOUNTED_SHARE = 1;
/** Standard deviations by which a second's requests may exceed their mean. */
const DEVIATION_COUNT = 5;

interface Admission {
  readonly endsAtMs: number;
  /** Requests that this instance may still send before then. */
  left: number;
}

/**
 * Load pattern: an engine starts, or its data centre is restored, and dozens of
 * instances see an idle engine. It can take a few requests a second from all of
 * them together and crashes well above that.
 *
 * Instances coordinate without messages: in each second, each one draws how
 * many requests it may send, so that the sum over all instances stays below the
 * limit. A network partition has no effect, since no message is needed.
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

  /** Records the time for which an endpoint says it stays cold; 0 if warm. */
  noteWarmup(id: EndpointId, leftMs: number, nowMs: number): void {
    if (leftMs > 0) this.coldUntilMs.set(id, nowMs + leftMs);
    else this.forget(id);
  }

  /** Treats an endpoint as cold that may be so and has not reported it yet. */
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

  /** How long an endpoint stays cold; 0 if it is warm. */
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
 * of many draws is Poisson distributed, and any span of a second may include
 * requests of two periods.
 */
function meanAdmitted(
  {requestsPerS}: WarmupLimit,
  {overage, slack}: WarmupTolerance,
): number {
  const most = requestsPerS * overage + slack;
  const half = DEVIATION_COUNT / 2;
  // Solves mean + DEVIATION_COUNT * sqrt(mean) = most.
  const mean = (Math.sqrt(most + half ** 2) - half) ** 2;
  return mean / 2;
}
