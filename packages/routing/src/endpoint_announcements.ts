/** Keeps what endpoints announce of themselves in their answers. */

import type {EndpointId} from '@snipestage/types/ids.js';
import {isOtherStart, type EndpointStart} from './endpoint_starts.js';

interface Announced {
  readonly start: EndpointStart;
  isLeaving: boolean;
  restUntilMs: number;
}

/** What an endpoint announces holds until it starts again. */
export class EndpointAnnouncements {
  private readonly announced = new Map<EndpointId, Announced>();

  /**
   * Records that an endpoint is about to stop.
   *
   * @returns whether this is new.
   */
  noteLeaving(start: EndpointStart): boolean {
    const announced = this.of(start);
    const isNew = !announced.isLeaving;
    announced.isLeaving = true;
    return isNew;
  }

  isLeaving(start: EndpointStart): boolean {
    return this.find(start)?.isLeaving ?? false;
  }

  /**
   * Records that an endpoint wants no requests from this instance for a time. A
   * shorter rest doesn't end a longer one: refusals may overtake each other.
   */
  noteRest(start: EndpointStart, restMs: number, nowMs: number): void {
    const announced = this.of(start);
    const restUntilMs = nowMs + restMs;
    announced.restUntilMs = Math.max(announced.restUntilMs, restUntilMs);
  }

  /** Time until it may get requests again; 0 when it doesn't rest. */
  restLeftMs(start: EndpointStart, nowMs: number): number {
    const {restUntilMs = nowMs} = this.find(start) ?? {};
    return Math.max(0, restUntilMs - nowMs);
  }

  /** Forgets endpoints that are gone. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.announced.keys()) {
      if (!ids.has(id)) this.announced.delete(id);
    }
  }

  private find(start: EndpointStart): Announced | undefined {
    const announced = this.announced.get(start.id);
    const isSame =
      announced !== undefined && !isOtherStart(announced.start, start);
    return isSame ? announced : undefined;
  }

  /** Replaces what an earlier start has announced. */
  private of(start: EndpointStart): Announced {
    const announced = this.find(start) ?? {
      start,
      isLeaving: false,
      restUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.announced.set(start.id, announced);
    return announced;
  }
}
