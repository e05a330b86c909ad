/** Whether the endpoints that the plan needs are live, not just ordered. */

import type {EndpointKind} from '@snipestage/types/configuration.js';
import type {DataCentreId, ModelId} from '@snipestage/types/ids.js';
import {presentOf} from './endpoint_plan_drain.js';
import type {PlanInput} from './endpoint_plan_input.js';
import type {PoolNeed, Supply} from './endpoint_plan_supply.js';

/**
 * Whether as many of the model's cheap endpoints are live as are needed.
 *
 * @example
 * if (!isCheapLive(supply, model, input)) keepRegularOnes();
 */
export function isCheapLive(
  supply: Supply,
  model: ModelId,
  input: PlanInput,
): boolean {
  const needs = supply.needs.filter(need => need.demand.pool.model === model);
  const needed = needs.reduce((sum, need) => sum + need.cheap, 0);
  const live = needs.reduce(
    (sum, need) => sum + countLive(need, 'cheap', input),
    0,
  );
  return live >= needed;
}

function countLive(
  need: PoolNeed,
  kind: EndpointKind,
  input: PlanInput,
): number {
  const present = presentOf(need.demand.pool, kind, input.endpoints);
  return present.filter(endpoint => endpoint.state === 'live').length;
}

/**
 * Models that have endpoints in the data centre.
 *
 * @example
 * const models = modelsOf(dataCentre, input);
 */
export function modelsOf(
  dataCentre: DataCentreId,
  input: PlanInput,
): ModelId[] {
  const here = input.endpoints.filter(each => each.dataCentre === dataCentre);
  return [...new Set(here.map(endpoint => endpoint.model))];
}

/**
 * Whether every remaining pool of the model has all the endpoints it needs
 * live; false if there is no such pool or the model has a shortfall.
 *
 * @example
 * if (isReplaced(model, supply, input)) drain(dataCentre);
 */
export function isReplaced(
  model: ModelId,
  supply: Supply,
  input: PlanInput,
): boolean {
  const needs = supply.needs.filter(need => need.demand.pool.model === model);
  const isShort = supply.shortfalls.some(each => each.model === model);
  if (needs.length === 0 || isShort) return false;
  return needs.every(need => {
    const regular = countLive(need, 'regular', input);
    const cheap = countLive(need, 'cheap', input);
    return (
      regular >= need.regular && regular + cheap >= need.regular + need.cheap
    );
  });
}

/**
 * Number of endpoints needed but not live, summed over the model's pools.
 *
 * @example
 * const missing = countMissing(model, supply, input);
 */
export function countMissing(
  model: ModelId,
  supply: Supply,
  input: PlanInput,
): number {
  return supply.needs
    .filter(need => need.demand.pool.model === model)
    .map(need => {
      const regular = countLive(need, 'regular', input);
      const cheap = countLive(need, 'cheap', input);
      return Math.max(0, need.regular + need.cheap - regular - cheap);
    })
    .reduce((total, missing) => total + missing, 0);
}
