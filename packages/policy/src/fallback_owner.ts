/** Decides for a single instance that reaches no owner of the cell. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {CellId, EndpointId, InstanceId} from '@snipestage/types/ids.js';
import type {CellEndpoint, CellInput, CellOutput} from './cell_messages.js';
import {CellOwner, type CellSnapshot} from './cell_owner.js';
import {createPolicySet, type PolicyName} from './policy_set.js';
import type {RandomSource} from './random_source.js';
import {rankByRendezvous} from './rendezvous.js';

/**
 * Share of a limit for the instance `own`. Permits that do not divide evenly go
 * to the instances that rank first for the endpoint, so that the shares add up
 * to the limit as long as all instances know of the same instances.
 *
 * @example
 * shareOfLimit(endpoint, 1, ['akl-a-1', 'akl-a-2'], 'akl-a-1'); // 1 or 0
 */
export function shareOfLimit(
  endpoint: EndpointId,
  limit: number,
  instances: readonly InstanceId[],
  own: InstanceId,
): number {
  const ranked = rankByRendezvous(endpoint, new Set([...instances, own]));
  const whole = Math.floor(limit / ranked.length);
  const rest = limit - whole * ranked.length;
  return whole + (ranked.indexOf(own) < rest ? 1 : 0);
}

/** What an instance knows about a cell. */
export interface CellView {
  readonly endpoints: readonly CellEndpoint[];
  readonly classes: readonly RequestClass[];
  readonly instances: readonly InstanceId[];
  /** Limits that the last owner had learnt. */
  readonly learntLimits: ReadonlyMap<EndpointId, number>;
}

/** Options of {@link FallbackOwner}. */
export interface FallbackOwnerOptions {
  readonly cell: CellId;
  readonly instance: InstanceId;
  readonly random: RandomSource;
  readonly startedAtMs: number;
  readonly policy?: PolicyName;
  readonly maxWaiting?: number;
}

/**
 * Applies the owner's order, fairness and refusals to the requests of this
 * instance only, within its share of each limit.
 */
export class FallbackOwner {
  private readonly owner: CellOwner;

  constructor(private readonly options: FallbackOwnerOptions) {
    this.owner = new CellOwner({
      cell: options.cell,
      random: options.random,
      startedAtMs: options.startedAtMs,
      policy: createPolicySet(options.policy ?? 'tiered'),
      maxWaiting: options.maxWaiting,
      graceMs: 0,
      standingAllotments: false,
    });
  }

  /** Sets what is known about the cell, at the start and after each change. */
  configure(view: CellView, nowMs: number): CellOutput[] {
    const endpoints = view.endpoints.map(endpoint => {
      const learnt = view.learntLimits.get(endpoint.id) ?? Infinity;
      const limit = Math.min(learnt, endpoint.maxConcurrency);
      const {instance} = this.options;
      const {instances} = view;
      return {
        ...endpoint,
        maxConcurrency: shareOfLimit(endpoint.id, limit, instances, instance),
      };
    });
    return [
      ...this.owner.receive({kind: 'classes', classes: view.classes}, nowMs),
      ...this.owner.receive({kind: 'endpoints', endpoints}, nowMs),
    ];
  }

  receive(input: CellInput, nowMs: number): CellOutput[] {
    return this.owner.receive(input, nowMs);
  }

  tick(nowMs: number): CellOutput[] {
    return this.owner.tick(nowMs);
  }

  snapshot(nowMs: number): CellSnapshot {
    return this.owner.snapshot(nowMs);
  }
}
