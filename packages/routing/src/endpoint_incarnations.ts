/** Tracks the incarnations of endpoints, also while their rows are missing. */

import type {EndpointId} from '@snipestage/types/ids.js';

/** One incarnation of an endpoint. */
export interface EndpointIncarnation {
  readonly id: EndpointId;
  /** Undefined when the list doesn't say; it may then be any incarnation. */
  readonly bornEpochMs: number | undefined;
}

interface KnownIncarnation {
  readonly incarnation: EndpointIncarnation;
  /** Undefined while it is listed. */
  readonly unlistedAtMs: number | undefined;
}

/**
 * Endpoints that are no longer listed are kept for this long: their rows may be
 * missing because of an outage of the store, or a list that is out of date may
 * name them again.
 */
const KEEP_UNLISTED_MS = 600_000;

/** Knows which endpoints have restarted, and which are gone for good. */
export class EndpointIncarnations {
  private readonly known = new Map<EndpointId, KnownIncarnation>();

  /**
   * @returns the listed endpoints that have restarted since they were last
   * listed.
   * @example
   * const restarted = incarnations.update(endpoints, nowMs);
   */
  update(
    listed: readonly EndpointIncarnation[],
    nowMs: number,
  ): readonly EndpointId[] {
    const restarted = listed.filter(incarnation =>
      this.hasRestarted(incarnation),
    );
    const ids = new Set(listed.map(({id}) => id));
    for (const [id, {incarnation, unlistedAtMs = nowMs}] of this.known) {
      if (ids.has(id)) continue;
      if (nowMs - unlistedAtMs > KEEP_UNLISTED_MS) this.known.delete(id);
      else this.known.set(id, {incarnation, unlistedAtMs});
    }
    for (const {id, bornEpochMs} of listed) {
      const before = this.known.get(id)?.incarnation;
      const incarnation = {id, bornEpochMs: bornEpochMs ?? before?.bornEpochMs};
      this.known.set(id, {incarnation, unlistedAtMs: undefined});
    }
    return restarted.map(({id}) => id);
  }

  /** Endpoints that are listed or were until recently. */
  get ids(): ReadonlySet<EndpointId> {
    return new Set(this.known.keys());
  }

  /**
   * Whether an incarnation is known to be gone, or precedes the known one.
   *
   * @example
   * if (incarnations.isOutdated(listed)) return;
   */
  isOutdated({id, bornEpochMs}: EndpointIncarnation): boolean {
    const known = this.known.get(id);
    if (known === undefined) return false;
    const {incarnation, unlistedAtMs} = known;
    if (isOtherIncarnation(incarnation, {bornEpochMs})) {
      return Number(bornEpochMs) < Number(incarnation.bornEpochMs);
    }
    return unlistedAtMs !== undefined;
  }

  private hasRestarted(incarnation: EndpointIncarnation): boolean {
    const before = this.known.get(incarnation.id)?.incarnation;
    return before !== undefined && isOtherIncarnation(before, incarnation);
  }
}

/**
 * Whether two incarnations of an endpoint differ; one that isn't known may be
 * the same.
 *
 * @example
 * if (isOtherIncarnation(listed, placed)) return;
 */
export function isOtherIncarnation(
  one: Pick<EndpointIncarnation, 'bornEpochMs'>,
  other: Pick<EndpointIncarnation, 'bornEpochMs'>,
): boolean {
  return (
    one.bornEpochMs !== undefined &&
    other.bornEpochMs !== undefined &&
    one.bornEpochMs !== other.bornEpochMs
  );
}
