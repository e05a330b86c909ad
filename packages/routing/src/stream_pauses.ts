/** What the pauses between the events of one stream show of its endpoint. */

/** A stream with fewer events has too few pauses for a quartile. */
const MIN_EVENTS = 8;
/**
 * Events closer than this were read at once after the instance or a link had
 * held them up; engines need several times as long for one.
 */
const MIN_PAUSE_MS = 1;

/**
 * The lower quartile of the pauses, in ms per event. Prompts that the endpoint
 * reads in between, moments of slowness and delays on the way lengthen some of
 * the pauses; the lower quartile is disturbed least.
 *
 * @returns undefined for a stream that is too short.
 * @example
 * const paceMs = findPaceMs(end.pausesMs);
 */
export function findPaceMs(pausesMs: readonly number[]): number | undefined {
  const spread = spreadHeldUp(pausesMs);
  if (spread.length < MIN_EVENTS - 1) return undefined;
  const ascending = spread.toSorted((one, other) => one - other);
  return ascending[Math.floor((ascending.length - 1) / 4)];
}

/**
 * Spreads a pause evenly over the events that came at its end: without this,
 * the lower quartile at a busy instance would be near 0.
 */
function spreadHeldUp(pausesMs: readonly number[]): readonly number[] {
  const groups: Array<{sumMs: number; events: number}> = [];
  for (const pauseMs of pausesMs) {
    const group = groups.at(-1);
    if (pauseMs >= MIN_PAUSE_MS) groups.push({sumMs: pauseMs, events: 1});
    else if (group !== undefined) {
      group.sumMs += pauseMs;
      group.events += 1;
    }
  }
  return groups.flatMap(({sumMs, events}) =>
    Array.from({length: events}, () => sumMs / events),
  );
}
