/** Keeps what endpoints announce of themselves in their answers. */

import {MAX_BACKOFF_MS} from '@snipestage/types/backoff.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import {
  isOtherIncarnation,
  type EndpointIncarnation,
} from './endpoint_incarnations.js';

interface Announced {
  readonly incarnation: EndpointIncarnation;
  isLeaving: boolean;
  backoffUntilMs: number;
}

/** What an endpoint announces holds until it restarts. */
export class EndpointAnnouncements {
  private readonly announced = new Map<EndpointId, Announced>();

  /**
   * Records that an endpoint is about to stop.
   *
   * @returns whether this is new.
   * @example
   * const isNew = announcements.noteLeaving(endpoint);
   */
  noteLeaving(incarnation: EndpointIncarnation): boolean {
    const announced = this.of(incarnation);
    const isNew = !announced.isLeaving;
    announced.isLeaving = true;
    return isNew;
  }

  isLeaving(incarnation: EndpointIncarnation): boolean {
    return this.find(incarnation)?.isLeaving ?? false;
  }

  /**
   * Records that an endpoint wants no requests from this instance for a time. A
   * shorter backoff doesn't end a longer one: refusals may overtake each other.
   *
   * @example
   * announcements.noteBackoff(endpoint, head.backoffMs, nowMs);
   */
  noteBackoff(
    incarnation: EndpointIncarnation,
    backoffMs: number,
    nowMs: number,
  ): void {
    const announced = this.of(incarnation);
    const backoffUntilMs = nowMs + Math.min(backoffMs, MAX_BACKOFF_MS);
    announced.backoffUntilMs = Math.max(
      announced.backoffUntilMs,
      backoffUntilMs,
    );
  }

  /** Time until it may get requests again; 0 when it isn't in backoff. */
  backoffLeftMs(incarnation: EndpointIncarnation, nowMs: number): number {
    const {backoffUntilMs = nowMs} = this.find(incarnation) ?? {};
    return Math.max(0, backoffUntilMs - nowMs);
  }

  /** Forgets endpoints that are gone. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.announced.keys()) {
      if (!ids.has(id)) this.announced.delete(id);
    }
  }

  private find(incarnation: EndpointIncarnation): Announced | undefined {
    const announced = this.announced.get(incarnation.id);
    const isSame =
      announced !== undefined &&
      !isOtherIncarnation(announced.incarnation, incarnation);
    return isSame ? announced : undefined;
  }

  /** Replaces what an earlier incarnation has announced. */
  private of(incarnation: EndpointIncarnation): Announced {
    const announced = this.find(incarnation) ?? {
      incarnation,
      isLeaving: false,
      backoffUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.announced.set(incarnation.id, announced);
    return announced;
  }
}
