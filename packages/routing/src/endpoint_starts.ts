/** Tracks the starts of endpoints, also while their rows are missing. */

import type {EndpointId} from '@snipestage/types/ids.js';

/** One start of an endpoint. */
export interface EndpointStart {
  readonly id: EndpointId;
  /** Undefined when the list doesn't say; it may then be any start. */
  readonly bornEpochMs: number | undefined;
}

interface KnownStart {
  readonly start: EndpointStart;
  /** Undefined while it is listed. */
  readonly unlistedAtMs: number | undefined;
}

/**
 * Endpoints that are no longer listed are kept for this long: their rows may be
 * missing because of an outage of the store, or a list that is out of date may
 * name them again.
 */
const KEEP_UNLISTED_MS = 600_000;

/** Knows which endpoints have started again, and which are gone for good. */
export class EndpointStarts {
  private readonly known = new Map<EndpointId, KnownStart>();

  /**
   * @returns the listed endpoints that have started again since they were last
   * listed.
   * @example
   * const restarted = starts.update(endpoints, nowMs);
   */
  update(
    listed: readonly EndpointStart[],
    nowMs: number,
  ): readonly EndpointId[] {
    const restarted = listed.filter(start => this.hasRestarted(start));
    const ids = new Set(listed.map(({id}) => id));
    for (const [id, {start, unlistedAtMs = nowMs}] of this.known) {
      if (ids.has(id)) continue;
      if (nowMs - unlistedAtMs > KEEP_UNLISTED_MS) this.known.delete(id);
      else this.known.set(id, {start, unlistedAtMs});
    }
    for (const {id, bornEpochMs} of listed) {
      const before = this.known.get(id)?.start;
      const start = {id, bornEpochMs: bornEpochMs ?? before?.bornEpochMs};
      this.known.set(id, {start, unlistedAtMs: undefined});
    }
    return restarted.map(({id}) => id);
  }

  /** Endpoints that are listed or were until recently. */
  get ids(): ReadonlySet<EndpointId> {
    return new Set(this.known.keys());
  }

  private hasRestarted(start: EndpointStart): boolean {
    const before = this.known.get(start.id)?.start;
    return before !== undefined && isOtherStart(before, start);
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
