/** A table whose answers may be lost and whose transactions may arrive late. */

import type {TableTransaction} from '@snipestage/types/table.js';
import type {TableEffect, TableEvent} from '../table_effects.js';
import {
  carryOut,
  commitTo,
  isOutdatedIn,
  type TableModel,
} from './table_model.js';

/** The table, delayed transactions, and the number of losses still allowed. */
export interface World {
  readonly table: TableModel;
  readonly late: readonly TableTransaction[];
  readonly lossesLeft: number;
}

/**
 * How a call of the table ends.
 *
 * - `answered`: it takes effect and its answer arrives.
 * - `answer_lost`: it takes effect and its answer does not arrive.
 * - `delayed`: it gets an unknown result, and takes effect at any later time or
 *   never.
 */
export type Delivery = 'answered' | 'answer_lost' | 'delayed';

/**
 * The deliveries that are possible for an effect.
 *
 * @example
 * listDeliveries(world, effect); // ['answered', 'answer_lost', 'delayed']
 */
export function listDeliveries(
  world: World,
  effect: TableEffect,
): readonly Delivery[] {
  if (effect.kind === 'wait' || world.lossesLeft === 0) {
    return ['answered'];
  }
  return effect.kind === 'transact'
    ? ['answered', 'answer_lost', 'delayed']
    : ['answered', 'answer_lost'];
}

/** The world after a delivery, and the event for the process. */
export interface DeliveryStep {
  readonly world: World;
  readonly event: TableEvent;
}

/**
 * Carries out an effect with the given delivery.
 *
 * @example
 * const {world, event} = deliver(before, effect, 'answer_lost', nowMs);
 */
export function deliver(
  world: World,
  effect: TableEffect,
  delivery: Delivery,
  nowMs: number,
): DeliveryStep {
  const done = carryOut(world.table, effect, nowMs);
  const isOutdated =
    effect.kind === 'transact' && isOutdatedIn(world.table, effect.transaction);
  if (delivery === 'answered') {
    const event = isOutdated ? unknown(effect.call, nowMs) : done.event;
    return {world: {...world, table: done.table}, event};
  }
  const lossesLeft = world.lossesLeft - 1;
  const {call} = effect;
  if (effect.kind !== 'transact') {
    const result = {kind: 'unavailable', reason: 'lost'} as const;
    const event = {kind: 'read_answered', call, result, nowMs} as const;
    return {world: {...world, lossesLeft}, event};
  }
  const event = unknown(call, nowMs);
  const next =
    delivery === 'answer_lost'
      ? {...world, lossesLeft, table: done.table}
      : {...world, lossesLeft, late: [...world.late, effect.transaction]};
  return {world: next, event};
}

function unknown(call: number, nowMs: number): TableEvent {
  const result = {kind: 'unknown', reason: 'lost'} as const;
  return {kind: 'transaction_answered', call, result, nowMs};
}

/**
 * Lets a delayed transaction arrive.
 *
 * @example
 * const next = deliverLate(world, 0);
 */
export function deliverLate(world: World, index: number): World {
  const {table} = commitTo(world.table, world.late[index]);
  return {...world, table, late: world.late.filter((_, i) => i !== index)};
}

/** A delayed transaction arrives. */
export interface LateAction {
  readonly type: 'late';
  readonly index: number;
}

/**
 * The actions by which each delayed transaction may arrive next.
 *
 * @example
 * const actions: Action[] = [...listLate(world)];
 */
export function listLate(world: World): readonly LateAction[] {
  return world.late.map((_, index) => ({type: 'late', index}));
}
