/** Keeps what endpoints announce of themselves in their answers. */

import type {EndpointId} from '@snipestage/types/ids.js';

/** One start of an endpoint. */
export interface EndpointStart {
  readonly id: EndpointId;
  /** Undefined when the list doesn't say; it may then be any start. */
  readonly bornEpochMs: number | undefined;
}

interface Announced {
  readonly start: EndpointStart;
  isLeaving: boolean;
  restUntilMs: number;
  atMs: number;
}

/**
 * Announcements of endpoints that are no longer listed are kept for this long:
 * a list that is out of date may name them again.
 */
const KEEP_UNLISTED_MS = 600_000;

/** What an endpoint announces holds until it starts again. */
export class EndpointAnnouncements {
  private readonly announced = new Map<EndpointId, Announced>();

  /**
   * Records that an endpoint is about to stop.
   *
   * @returns whether this is new.
   */
  noteLeaving(start: EndpointStart, nowMs: number): boolean {
    const announced = this.of(start, nowMs);
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
    const announced = this.of(start, nowMs);
    const restUntilMs = nowMs + restMs;
    announced.restUntilMs = Math.max(announced.restUntilMs, restUntilMs);
  }

  /** Time until it may get requests again; 0 when it doesn't rest. */
  restLeftMs(start: EndpointStart, nowMs: number): number {
    const {restUntilMs = nowMs} = this.find(start) ?? {};
    return Math.max(0, restUntilMs - nowMs);
  }

  /** Forgets endpoints that have been unlisted for a while. */
  evict(isListed: (id: EndpointId) => boolean, nowMs: number): void {
    for (const [id, {atMs, restUntilMs}] of this.announced) {
      const isOver = nowMs - Math.max(atMs, restUntilMs) > KEEP_UNLISTED_MS;
      if (!isListed(id) && isOver) {
        this.announced.delete(id);
      }
    }
  }

  private find(start: EndpointStart): Announced | undefined {
    const announced = this.announced.get(start.id);
    const isSame =
      announced !== undefined && !isOtherStart(announced.start, start);
    return isSame ? announced : undefined;
  }

  /** Replaces what an earlier start has announced. */
  private of(start: EndpointStart, nowMs: number): Announced {
    const announced = this.find(start) ?? {
      start,
      isLeaving: false,
      restUntilMs: Number.NEGATIVE_INFINITY,
      atMs: nowMs,
    };
    announced.atMs = nowMs;
    this.announced.set(start.id, announced);
    return announced;
  }
}

/**
 * Whether two starts of an endpoint differ; one that isn't known may be the
 * same.
 *
 * @example
 * if (isOtherStart(listed, placed)) return;
 */
export function isOtherStart(
  one: Pick<EndpointStart, 'bornEpochMs'>,
  other: Pick<EndpointStart, 'bornEpochMs'>,
): boolean {
  return (
    one.bornEpochMs !== undefined &&
    other.bornEpochMs !== undefined &&
    one.bornEpochMs !== other.bornEpochMs
  );
}
