/** How many endpoints of each kind every data centre should run. */

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

/** What a plan is made from. */
export interface CapacityInput {
  readonly service: ServiceId;
  readonly scaling: ScalingLimits;
  /** Data centres in which the service runs. */
  readonly dataCentres: readonly DataCentreId[];
  /** Endpoints that the usual demand needs. */
  readonly needed: number;
  /** Endpoints that the demand of these seconds needs (0). */
  readonly neededNow?: number;
  /**
   * Where no more cheap endpoints are to be had at the moment, those that are
   * still there.
   */
  readonly cheapLeft?: ReadonlyMap<DataCentreId, number>;
  /** Data centres that get no requests at the moment (none). */
  readonly evacuated?: ReadonlySet<DataCentreId>;
  /** Endpoints that each data centre runs and keeps (none). */
  readonly present?: ReadonlyMap<DataCentreId, PresentEndpoints>;
}

/** Endpoints of a data centre by kind. */
export interface PresentEndpoints {
  readonly regular: number;
  readonly cheap: number;
}

/** Both kinds of one data centre. */
interface Share {
  readonly dataCentre: DataCentreId;
  /** Undefined where as many as are ordered can be had. */
  readonly cheapLeft: number | undefined;
  regular: number;
  cheap: number;
}

/**
 * Regular endpoints carry what has to go on when the cheap ones of one data
 * centre are taken away at once; cheap ones, a fraction of the price, carry the
 * rest and the peaks.
 *
 * All cheap endpoints of a data centre vanish together. Spread evenly over the
 * data centres, a reclaim takes one share of them. The regular floor is one
 * endpoint in each data centre, or what the limits ask for.
 *
 * What a data centre can't give at the moment is ordered of the others: cheap
 * ones for the usual room, regular ones, several times as dear, for what the
 * demand of the moment still lacks. They are given back once the cheap ones can
 * be had again. Left out, two reclaims one after the other leave a third of the
 * endpoints to carry everything.
 *
 * An evacuated data centre gets no order: its endpoints stay as they are, and the
 * others make up for them. Given back, they would have to boot again when it is
 * restored.
 *
 * @example
 * const targets = planCapacity(input);
 */
export function planCapacity(input: CapacityInput): readonly CapacityTarget[] {
  const {service, scaling} = input;
  const neededNow = input.neededNow ?? 0;
  const shares = planUsual(input);
  const wanted = Math.max(countWanted(input), neededNow);
  addCheap(shares, wanted - countExpected(shares), scaling);
  addRegular(shares, neededNow - countExpected(shares), scaling);
  if (neededNow > 0) {
    for (const share of shares) keepUntilReplaced(share, input);
  }
  return shares.flatMap(({dataCentre, regular, cheap}) => [
    {service, dataCentre, isCheap: false, count: regular},
    {service, dataCentre, isCheap: true, count: cheap},
  ]);
}

/**
 * Endpoints above what operators began with. Bursts of one class come to about
 * twice its usual within a second, and an endpoint takes seconds to boot, so
 * that the room has to be there before; cheap ones cost about a fifth.
 */
const BURST_HEADROOM = 1.6;

function countWanted({needed}: CapacityInput): number {
  return Math.ceil(needed * BURST_HEADROOM);
}

/** Enough for the usual demand when one data centre's cheap ones are away. */
function planUsual(input: CapacityInput): Share[] {
  const {scaling, dataCentres, cheapLeft, evacuated} = input;
  const open = dataCentres.filter(id => evacuated?.has(id) !== true);
  const regular = Math.max(1, scaling.minCount);
  const missing = countWanted(input) - regular * open.length;
  const lossProof = Math.max(1, dataCentres.length - 1);
  const cheapEach = Math.ceil(Math.max(0, missing) / lossProof);
  const cheap = Math.max(0, Math.min(cheapEach, scaling.maxCount - regular));
  return open.map(dataCentre => ({
    dataCentre,
    cheapLeft: cheapLeft?.get(dataCentre),
    regular,
    cheap,
  }));
}

/** Endpoints that will serve, not those that are asked for in vain. */
function countExpected(shares: readonly Share[]): number {
  return shares.reduce(
    (sum, {regular, cheap, cheapLeft}) =>
      sum + regular + Math.min(cheap, cheapLeft ?? cheap),
    0,
  );
}

/** One more in each data centre in turn, as long as there is room. */
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
 * Where they cost least. Where cheap ones can't be had, regular ones take their
 * room, but for one that is still asked for: it shows when they can be had again.
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

/** Share of a data centre's endpoints that serves while the rest is replaced. */
const KEPT_SHARE = 0.5;

/**
 * Load pattern: cheap endpoints can be had again in a data centre that regular
 * ones have filled meanwhile. Given back all at once, it would serve with next to
 * none until the cheap ones have booted, and a data centre that is cut off then
 * refuses its callers. So they are replaced in two steps.
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

/** Endpoints of a kind that a data centre runs and keeps. */
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
