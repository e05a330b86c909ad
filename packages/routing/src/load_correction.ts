/** Corrects what a count of requests doesn't show of an endpoint's load. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {EndpointOutcome} from './endpoint_monitor.js';
import type {PlacementRequest} from './placement.js';
import type {Prompt} from './prompt.js';
import type {Route} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** An attempt at an endpoint; the same object from its start to its end. */
export interface ObservedAttempt {
  readonly endpoint: ServingEndpoint;
  readonly route: Route;
  readonly prompt: Prompt | undefined;
  readonly sentAtMs: number;
}

/** What an attempt has shown of its endpoint. */
export interface AttemptEnd {
  readonly isAnswered: boolean;
  /** Undefined when it shows nothing of the endpoint's health. */
  readonly outcome: EndpointOutcome | undefined;
  /** Pauses between the events of its stream, in order. */
  readonly pausesMs: readonly number[];
  /** As the endpoint stated with the head of its answer. */
  readonly workTimeRatio: number | undefined;
}

/**
 * One aspect of endpoints by which placements correct their loads. It applies
 * only to services whose load controls are on.
 */
export abstract class LoadCorrection {
  /** Duration of work there, relative to the other endpoints; 1: as usual. */
  abstract slownessOf(endpoint: ServingEndpoint, nowMs: number): number;

  /** Requests by which its load counts as higher than reported; 0: none. */
  abstract extraLoadOf(endpoint: ServingEndpoint, nowMs: number): number;

  /**
   * Share of the requests that it would get otherwise, above 0 and at most 1. A
   * small share is not slowness: what it gets, it answers as usual.
   */
  abstract shareOf(endpoint: ServingEndpoint, nowMs: number): number;

  /** Requests by which one more request raises that load; 1: as usual. */
  abstract loadPerRequest(endpoint: ServingEndpoint, nowMs: number): number;

  /** Whether it has room for the request, and the request time there. */
  abstract hasRoomFor(
    endpoint: ServingEndpoint,
    request: PlacementRequest,
  ): boolean;

  /** Whether it is permanently slow, so that fast ones go before it (false). */
  isSlow(endpoint: ServingEndpoint, nowMs: number): boolean;
  isSlow(): boolean {
    return false;
  }

  /**
   * Share of such requests that pauses make late there and not at an endpoint of
   * usual speed (0).
   */
  lateShareOf(endpoint: ServingEndpoint, request: PlacementRequest): number;
  lateShareOf(): number {
    return 0;
  }

  /** An attempt is sent to an endpoint; {@link noteEnded} follows. */
  abstract noteSent(attempt: ObservedAttempt): void;

  /** The endpoint has sent the first event of its stream. */
  abstract noteFirstEvent(attempt: ObservedAttempt, nowMs: number): void;

  abstract noteEnded(
    attempt: ObservedAttempt,
    end: AttemptEnd,
    nowMs: number,
  ): void;

  /** Forgets endpoints that are gone. */
  abstract retain(ids: ReadonlySet<EndpointId>): void;

  /** Forgets an endpoint that has restarted. */
  abstract forget(id: EndpointId): void;
}

/** Applies several corrections as one. */
export class CombinedCorrection extends LoadCorrection {
  constructor(private readonly corrections: readonly LoadCorrection[]) {
    super();
  }

  slownessOf(endpoint: ServingEndpoint, nowMs: number): number {
    return this.corrections.reduce(
      (product, each) => product * each.slownessOf(endpoint, nowMs),
      1,
    );
  }

  extraLoadOf(endpoint: ServingEndpoint, nowMs: number): number {
    return this.corrections.reduce(
      (sum, each) => sum + each.extraLoadOf(endpoint, nowMs),
      0,
    );
  }

  shareOf(endpoint: ServingEndpoint, nowMs: number): number {
    return this.corrections.reduce(
      (product, each) => product * each.shareOf(endpoint, nowMs),
      1,
    );
  }

  loadPerRequest(endpoint: ServingEndpoint, nowMs: number): number {
    return this.corrections.reduce(
      (sum, each) => sum + each.loadPerRequest(endpoint, nowMs) - 1,
      1,
    );
  }

  hasRoomFor(endpoint: ServingEndpoint, request: PlacementRequest): boolean {
    return this.corrections.every(each => each.hasRoomFor(endpoint, request));
  }

  override isSlow(endpoint: ServingEndpoint, nowMs: number): boolean {
    return this.corrections.some(each => each.isSlow(endpoint, nowMs));
  }

  override lateShareOf(
    endpoint: ServingEndpoint,
    request: PlacementRequest,
  ): number {
    const shares = this.corrections.map(each =>
      each.lateShareOf(endpoint, request),
    );
    return Math.max(0, ...shares);
  }

  noteSent(attempt: ObservedAttempt): void {
    for (const each of this.corrections) each.noteSent(attempt);
  }

  noteFirstEvent(attempt: ObservedAttempt, nowMs: number): void {
    for (const each of this.corrections) each.noteFirstEvent(attempt, nowMs);
  }

  noteEnded(attempt: ObservedAttempt, end: AttemptEnd, nowMs: number): void {
    for (const each of this.corrections) each.noteEnded(attempt, end, nowMs);
  }

  retain(ids: ReadonlySet<EndpointId>): void {
    for (const each of this.corrections) each.retain(ids);
  }

  forget(id: EndpointId): void {
    for (const each of this.corrections) each.forget(id);
  }
}
