/** Loads of engines as placements compare them, with the corrections applied. */

import type {EndpointId} from '@snipestage/types/ids.js';
import {
  findCorrection,
  type PlacementRequest,
  type PlacementState,
} from './placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/**
 * Neutral for services whose load controls are off. A placement compares each
 * engine several times, so that corrections are computed once for it.
 */
export class CorrectedLoads {
  private readonly slowness = new Map<EndpointId, number>();
  private readonly steps = new Map<EndpointId, number>();

  constructor(private readonly state: PlacementState) {}

  /** Begins the placement of a request. */
  refresh(): void {
    this.slowness.clear();
    this.steps.clear();
  }

  /**
   * Requests at an engine, by its speed, without what corrections add: a prompt
   * that leaves its primary engine for a shorter queue is read as a whole at the
   * other one, which makes all queues longer. Queues that are too long for its
   * target count by {@link hasRoomFor}.
   */
  relativeLoadOf(engine: ServingEndpoint, nowMs: number): number {
    const load = this.state.monitor.estimateLoad(engine.id, nowMs);
    return load * this.stepOf(engine, nowMs);
  }

  /**
   * Requests at an engine, in requests of an engine of usual speed that gets
   * its whole share.
   */
  correctedLoadOf(engine: ServingEndpoint, nowMs: number): number {
    const load = this.state.monitor.estimateLoad(engine.id, nowMs);
    const correction = findCorrection(engine.service, this.state);
    if (correction === undefined) return load;
    const extra = correction.extraLoadOf(engine, nowMs);
    return (load + extra) * this.stepOf(engine, nowMs);
  }

  /** By how much one more request raises the corrected load. */
  stepOf(engine: ServingEndpoint, nowMs: number): number {
    const known = this.steps.get(engine.id);
    if (known !== undefined) return known;
    const correction = findCorrection(engine.service, this.state);
    if (correction === undefined) return 1;
    const share = correction.shareOf(engine, nowMs);
    const step = this.slownessOf(engine, nowMs) / share;
    this.steps.set(engine.id, step);
    return step;
  }

  slownessOf(engine: ServingEndpoint, nowMs: number): number {
    const known = this.slowness.get(engine.id);
    if (known !== undefined) return known;
    const correction = findCorrection(engine.service, this.state);
    if (correction === undefined) return 1;
    const slowness = correction.slownessOf(engine, nowMs);
    this.slowness.set(engine.id, slowness);
    return slowness;
  }

  isSlow(engine: ServingEndpoint, nowMs: number): boolean {
    const correction = findCorrection(engine.service, this.state);
    return correction?.isSlow(engine, nowMs) ?? false;
  }

  /** Relative to an engine of usual speed. */
  speedOf(engine: ServingEndpoint, nowMs: number): number {
    return 1 / this.slownessOf(engine, nowMs);
  }

  lateShareOf(engine: ServingEndpoint, request: PlacementRequest): number {
    const correction = findCorrection(engine.service, this.state);
    return correction?.lateShareOf(engine, request) ?? 0;
  }

  loadPerRequest(engine: ServingEndpoint, nowMs: number): number {
    const correction = findCorrection(engine.service, this.state);
    return correction?.loadPerRequest(engine, nowMs) ?? 1;
  }

  hasRoomFor(engine: ServingEndpoint, request: PlacementRequest): boolean {
    const correction = findCorrection(engine.service, this.state);
    return correction?.hasRoomFor(engine, request) ?? true;
  }
}
