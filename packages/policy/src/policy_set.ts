/** The policies of a cell that can be chosen by name. */

import {AdaptiveLimit} from './adaptive_limit.js';
import {LeastInFlightChoice, RoundRobinChoice} from './baseline_choices.js';
import type {DispatchQueue} from './dispatch_queue.js';
import type {EndpointChoice} from './endpoint_choice.js';
import {FifoQueue} from './fifo_queue.js';
import {
  FixedLimit,
  type LimitPolicy,
  type LimitPolicyOptions,
} from './limit_policy.js';
import {TieredChoice} from './tiered_choice.js';
import {TieredQueue} from './tiered_queue.js';

/**
 * `tiered` is the product's policy; the others are baselines for comparison.
 */
export type PolicyName = 'tiered' | 'round_robin' | 'least_in_flight';

/** The queue, endpoint choice and limits of one cell under a policy. */
export interface PolicySet {
  readonly name: PolicyName;
  readonly queue: DispatchQueue;
  readonly choice: EndpointChoice;
  createLimit(options: LimitPolicyOptions): LimitPolicy;
}

/**
 * Creates the policies of one cell. They keep state, so each cell needs its
 * own.
 *
 * @example
 * const policy = createPolicySet('tiered');
 */
export function createPolicySet(name: PolicyName): PolicySet {
  switch (name) {
    case 'tiered':
      return {
        name,
        queue: new TieredQueue(),
        choice: new TieredChoice(),
        createLimit: options => new AdaptiveLimit(options),
      };
    case 'round_robin':
      return createBaseline(name, new RoundRobinChoice());
    case 'least_in_flight':
      return createBaseline(name, new LeastInFlightChoice());
  }
}

function createBaseline(name: PolicyName, choice: EndpointChoice): PolicySet {
  return {
    name,
    queue: new FifoQueue(),
    choice,
    createLimit: options => new FixedLimit(options),
  };
}
