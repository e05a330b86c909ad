/** Divides the free permits of a cell among its instances. */

import type {EndpointId, InstanceId} from '@snipestage/types/ids.js';
import {hashText} from './rendezvous.js';

/** Share of the permits that is divided equally, regardless of use. */
const EQUAL_SHARE = 0.5;

/** Recent use of the cell by one instance. */
export interface InstanceUse {
  readonly instance: InstanceId;
  /** Mean number of permits in use. */
  readonly recentUse: number;
}

/** Permits of one endpoint to divide. */
export interface DivisiblePermits {
  readonly endpoint: EndpointId;
  readonly permits: number;
}

/** Permits that each instance may use without requesting them. */
export type AllotmentPlan = Map<InstanceId, Map<EndpointId, number>>;

/**
 * Divides permits among instances: half in equal shares, so that an idle
 * instance can start requests at once, and half by recent use. Permits that do
 * not divide evenly are assigned by largest remainder, with ties broken by
 * rendezvous hashing, so that it is not always the same instance that gets
 * none.
 *
 * @example
 * planAllotments(
 *   [{endpoint, permits: 6}],
 *   [{instance: first, recentUse: 2}, {instance: second, recentUse: 0}],
 * );
 */
export function planAllotments(
  endpoints: readonly DivisiblePermits[],
  uses: readonly InstanceUse[],
): AllotmentPlan {
  const plan: AllotmentPlan = new Map();
  const weights = weigh(uses);
  for (const {instance} of uses) plan.set(instance, new Map());
  for (const {endpoint, permits} of endpoints) {
    for (const [instance, share] of divide(endpoint, permits, weights)) {
      plan.get(instance)!.set(endpoint, share);
    }
  }
  return plan;
}

type Weights = ReadonlyMap<InstanceId, number>;

function weigh(uses: readonly InstanceUse[]): Weights {
  const total = uses.reduce((sum, {recentUse}) => sum + recentUse, 0);
  const equal = 1 / uses.length;
  return new Map(
    uses.map(({instance, recentUse}) => {
      const byUse = total > 0 ? recentUse / total : equal;
      return [instance, EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * byUse];
    }),
  );
}

function divide(
  endpoint: EndpointId,
  permits: number,
  weights: Weights,
): Map<InstanceId, number> {
  const shares = new Map<InstanceId, number>();
  let left = permits;
  for (const [instance, weight] of weights) {
    const whole = Math.floor(permits * weight);
    shares.set(instance, whole);
    left -= whole;
  }
  const byRemainder = [...weights].sort(
    ([a, weightA], [b, weightB]) =>
      remainder(permits * weightB) - remainder(permits * weightA) ||
      hashText(`${endpoint}\n${b}`) - hashText(`${endpoint}\n${a}`),
  );
  for (const [instance] of byRemainder.slice(0, left)) {
    shares.set(instance, shares.get(instance)! + 1);
  }
  return shares;
}

function remainder(share: number): number {
  return share - Math.floor(share);
}
