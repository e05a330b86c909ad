/** Divides the free permits of a cell among its instances. */

import type {EndpointId, InstanceId} from '@snipestage/types/ids.js';
import {hashText} from './rendezvous.js';

/** Part of the permits that is divided equally, whatever each instance used. */
const EQUAL_PART = 0.5;

/** How much of the cell an instance has used lately. */
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

/** What each instance may start without asking. */
export type AllotmentPlan = Map<InstanceId, Map<EndpointId, number>>;

/**
 * Half in equal shares, so that an instance that was idle can start at once,
 * half by recent use. What does not divide goes by largest remainder, and among
 * equals by rendezvous hashing, so that it is not always the same instance that
 * goes without.
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
      return [instance, EQUAL_PART * equal + (1 - EQUAL_PART) * byUse];
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
