/** Plans how many endpoints of each kind each data centre should run. */

import type {DataCentreId, ServiceId} from '@snipestage/types/ids.js';
import type {ScalingLimits} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Absolute number of endpoints of one kind in one data centre. */
export interface CapacityTarget {
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly isCheap: boolean;
  readonly count: number;
}

/** Inputs of {@link planCapacity}; defaults in brackets. */
export interface CapacityInput {
  readonly service: ServiceId;
  readonly scaling: ScalingLimits;
  /** Data centres in which the service runs. */
  readonly dataCentres: readonly DataCentreId[];
  /** Endpoints that the usual demand needs. */
  readonly needed: number;
  /** Endpoints that the current demand needs (0). */
  readonly currentlyNeeded?: number;
  /**
   * Number of cheap endpoints still running, for data centres in which no more
   * of them are available at the moment.
   */
  readonly cheapLeft?: ReadonlyMap<DataCentreId, number>;
  /** Data centres that get no requests at the moment (none). */
  readonly evacuated?: ReadonlySet<DataCentreId>;
  /** Endpoints of each data centre that are not leaving (none). */
  readonly present?: ReadonlyMap<DataCentreId, PresentEndpoints>;
}

/** Endpoints of a data centre by kind. */
export interface PresentEndpoints {
  readonly regular: number;
  readonly cheap: number;
}

/** Planned counts of both kinds in one data centre. */
interface Share {
  readonly dataCentre: DataCentreId;
  /** Undefined where as many cheap endpoints as are ordered are available. */
  readonly cheapLeft: number | undefined;
  regular: number;
  cheap: number;
}

/**
 * Plans the endpoints of a service.
 *
 * Regular endpoints carry the load that must continue when the cheap ones of
 * one data centre are reclaimed at once; cheap ones, at a fraction of the
 * price, carry the rest and the peaks.
 *
 * All cheap endpoints of a data centre are reclaimed together. As they are
 * spread evenly over the data centres, a reclaim takes one share of them. At
 * least one regular endpoint runs in each data centre, or as many as the limits
 * require.
 *
 * Endpoints that are unavailable in one data centre at the moment are ordered
 * in the others: cheap ones for the usual headroom, and regular ones, which
 * cost several times as much, for the part of the current demand that is still
 * not covered. The regular ones are released once cheap ones are available
 * again. Without such replacements, two reclaims in succession leave a third of
 * the endpoints to carry everything.
 *
 * No target is set for an evacuated data centre: its endpoints stay as they
 * are, and the others replace their capacity. If its endpoints were released,
 * they would have to boot again when it is restored.
 *
 * @example
 * const targets = planCapacity(input);
 */
export function planCapacity(input: CapacityInput): readonly CapacityTarget[] {
  const {service, scaling} = input;
  const currentlyNeeded = input.currentlyNeeded ?? 0;
  const shares = planUsual(input);
  const wanted = Math.max(countWanted(input), currentlyNeeded);
  addCheap(shares, wanted - countExpected(shares), scaling);
  addRegular(shares, currentlyNeeded - countExpected(shares), scaling);
  if (currentlyNeeded > 0) {
    for (const share of shares) keepUntilReplaced(share, input);
  }
  return shares.flatMap(({dataCentre, regular, cheap}) => [
    {service, dataCentre, isCheap: false, count: regular},
    {service, dataCentre, isCheap: true, count: cheap},
  ]);
}

/**
 * Planned endpoints relative to {@link CapacityInput.needed}, the number that
 * operators started with. Bursts of one class reach about twice its usual rate
 * within a second, and an endpoint takes seconds to boot, so the headroom has
 * to exist beforehand; cheap endpoints cost about a fifth of regular ones.
 */
const BURST_HEADROOM_FACTOR = 1.6;

function countWanted({needed}: CapacityInput): number {
  return Math.ceil(needed * BURST_HEADROOM_FACTOR);
}

/**
 * Covers the usual demand even if one data centre loses its cheap endpoints; an
 * evacuated data centre counts as that one.
 */
function planUsual(input: CapacityInput): Share[] {
  const {scaling, dataCentres, cheapLeft, evacuated} = input;
  const open = dataCentres.filter(id => evacuated?.has(id) !== true);
  const regular = Math.max(1, scaling.minCount);
  const missing = countWanted(input) - regular * open.length;
  const centresAfterLoss = Math.max(1, dataCentres.length - 1);
  const cheapEach = Math.ceil(Math.max(0, missing) / centresAfterLoss);
  const cheap = Math.max(0, Math.min(cheapEach, scaling.maxCount - regular));
  return open.map(dataCentre => ({
    dataCentre,
    cheapLeft: cheapLeft?.get(dataCentre),
    regular,
    cheap,
  }));
}

/** Endpoints that will serve, without ordered ones that are unavailable. */
function countExpected(shares: readonly Share[]): number {
  return shares.reduce(
    (sum, {regular, cheap, cheapLeft}) =>
      sum + regular + Math.min(cheap, cheapLeft ?? cheap),
    0,
  );
}

/** Adds one cheap endpoint to each data centre in turn while there is room. */
function addCheap(
  shares: readonly Share[],
  missing: number,
  scaling: ScalingLimits,
): void {
  let left = missing;
  while (left > 0) {
    const open = shares.filter(
      share => share.cheapLeft === undefined && hasRoom(share, scaling),
    );
    if (open.length === 0) return;
    for (const share of open.slice(0, left)) {
      share.cheap += 1;
      left -= 1;
    }
  }
}

/**
 * Adds regular endpoints where they cost least. They take the room of cheap
 * ones that are unavailable, except for one that is still ordered: it shows
 * when cheap ones are available again.
 */
function addRegular(
  shares: readonly Share[],
  missing: number,
  scaling: ScalingLimits,
): void {
  const priceOf = ({dataCentre}: Share): number =>
    scaling.priceByDataCentre.get(dataCentre) ?? 0;
  const cheapestFirst = shares.toSorted(
    (one, other) => priceOf(one) - priceOf(other),
  );
  let left = missing;
  for (const share of cheapestFirst) {
    const kept = Math.max(share.cheapLeft ?? share.cheap, 1);
    const room = scaling.maxCount - share.regular - Math.min(kept, share.cheap);
    const added = Math.max(0, Math.min(left, room));
    share.regular += added;
    share.cheap = Math.min(share.cheap, scaling.maxCount - share.regular);
    left -= added;
  }
}

/** Share of a data centre's endpoints that serve while the rest is replaced. */
const KEPT_SHARE = 0.5;

/**
 * Load pattern: cheap endpoints become available again in a data centre that
 * regular ones have filled meanwhile. If all regular ones were released at
 * once, hardly any endpoint would serve there until the cheap ones have booted,
 * and a data centre that is cut off then refuses its callers. So they are
 * replaced in two steps.
 */
function keepUntilReplaced(
  share: Share,
  {present, scaling}: CapacityInput,
): void {
  const now = present?.get(share.dataCentre);
  if (now === undefined) return;
  const kept = Math.ceil((share.regular + share.cheap) * KEPT_SHARE);
  const regular = Math.min(now.regular, kept - now.cheap);
  if (regular <= share.regular) return;
  share.regular = regular;
  share.cheap = Math.min(share.cheap, scaling.maxCount - regular);
}

function hasRoom({regular, cheap}: Share, {maxCount}: ScalingLimits): boolean {
  return regular + cheap < maxCount;
}

/** Counts the endpoints of a kind in a data centre that are not leaving. */
export function countPresent(
  endpoints: readonly ServingEndpoint[],
  target: Omit<CapacityTarget, 'count'>,
): number {
  return endpoints.filter(
    endpoint =>
      !endpoint.isLeaving &&
      endpoint.service === target.service &&
      endpoint.dataCentre === target.dataCentre &&
      endpoint.isCheap === target.isCheap,
  ).length;
}
