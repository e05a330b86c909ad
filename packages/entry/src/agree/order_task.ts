/** Sends the orders of one data centre while its lease is held. */

import {beginOrders, transitionOrders} from '@snipestage/agreement/orders.js';
import type {
  OrderAnswer,
  OrdersEffect,
  OrdersEvent,
  OrdersState,
} from '@snipestage/agreement/order_messages.js';
import type {Order, OrderContent} from '@snipestage/agreement/order_rows.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Metrics} from '@snipestage/log/metrics.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {LeaseName} from '@snipestage/types/ids.js';
import type {TableExecutor} from '../configure/table_executor.js';
import type {EngineOrders} from '../send/engine_orders.js';
import type {LeaseTask} from './lease_task.js';

/** Options of {@link OrderTask}. */
export interface OrderTaskOptions {
  readonly name: LeaseName;
  readonly lease: LeaseTask;
  readonly executor: TableExecutor;
  readonly platform: Platform;
  readonly engineOrders: EngineOrders;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Carries out the effects of the order protocol. */
export class OrderTask {
  private state: OrdersState;

  constructor(private readonly options: OrderTaskOptions) {
    this.state = beginOrders(options.name);
    options.lease.listen({
      acquired: held => this.handle({kind: 'acquired', held}),
      lost: () => this.handle({kind: 'lost'}),
    });
  }

  /** Replaces all that is wanted; sends orders for whatever differs from it. */
  setDesired(contents: readonly OrderContent[]): void {
    this.handle({kind: 'desired', contents});
  }

  snapshot(): object {
    const {open, current, accepted, refusedTargets} = this.state;
    return {
      openIntents: open.length,
      current: current?.order,
      phase: current?.phase,
      accepted,
      refusedTargets,
    };
  }

  private handle(event: OrdersEvent): void {
    const step = transitionOrders(this.state, event);
    this.state = step.state;
    for (const effect of step.effects) void this.carryOut(effect);
  }

  private async carryOut(effect: OrdersEffect): Promise<void> {
    switch (effect.kind) {
      case 'order': {
        const answer = await this.send(effect.order);
        this.options.logger.info('order_answered', {
          order: effect.order.order.id,
          answer: answer.kind,
        });
        this.options.metrics.count('endpoint_orders', 1, {
          kind: effect.order.kind,
          outcome: answer.kind,
        });
        this.handle({kind: 'order_answered', call: effect.call, answer});
        return;
      }
      case 'refused':
        this.options.logger.warn('order_refused', {
          order: effect.order.order.id,
          reason: effect.reason,
        });
        return;
      default:
        this.handle(await this.options.executor.carryOut(effect));
    }
  }

  private send(order: Order): Promise<OrderAnswer> {
    const {platform, engineOrders, lease} = this.options;
    const guard = lease.guard();
    return order.kind === 'endpoints'
      ? platform.orderEndpoints(order.order, guard)
      : engineOrders.send(order.order, guard);
  }
}
