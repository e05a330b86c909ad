/** Carries out the decisions of an instance that reaches no owner. */

import type {PermitRefusal} from '@snipestage/types/permits.js';
import type {CellInput, CellOutput} from './cell_messages.js';
import type {CellSnapshot} from './cell_owner.js';
import type {ClientState} from './client_state.js';
import {FallbackOwner} from './fallback_owner.js';
import type {PolicyName} from './policy_set.js';
import type {RandomSource} from './random_source.js';

/** Options of {@link ClientFallback}. */
export interface ClientFallbackOptions {
  readonly state: ClientState;
  readonly random: RandomSource;
  readonly policy: PolicyName;
  readonly maxWaiting: number;
}

/** Runs a {@link FallbackOwner} while it is active. */
export class ClientFallback {
  private readonly state: ClientState;
  private owner: FallbackOwner | undefined;

  constructor(private readonly options: ClientFallbackOptions) {
    this.state = options.state;
  }

  get isActive(): boolean {
    return this.owner !== undefined;
  }

  /**
   * Starts with the running attempts; waiting requests must be submitted again.
   */
  begin(nowMs: number): void {
    const {random, policy, maxWaiting} = this.options;
    const {cell, instance, running} = this.state;
    this.owner = new FallbackOwner({
      cell,
      instance,
      random,
      startedAtMs: nowMs,
      policy,
      maxWaiting,
    });
    const permits = running.all();
    this.receive({kind: 'in_use', instance, permits}, nowMs);
    this.configure(nowMs);
  }

  end(): void {
    this.owner = undefined;
  }

  configure(nowMs: number): void {
    if (this.owner === undefined) return;
    const {endpoints, classes, instances, allotment} = this.state;
    const view = {
      endpoints,
      classes,
      instances: [...instances],
      learntLimits: allotment.learntLimits,
    };
    this.carryOut(this.owner.configure(view, nowMs), nowMs);
  }

  receive(input: CellInput, nowMs: number): void {
    if (this.owner === undefined) return;
    this.carryOut(this.owner.receive(input, nowMs), nowMs);
  }

  tick(nowMs: number): void {
    if (this.owner === undefined) return;
    this.carryOut(this.owner.tick(nowMs), nowMs);
  }

  snapshot(nowMs: number): CellSnapshot | undefined {
    return this.owner?.snapshot(nowMs);
  }

  private carryOut(decisions: readonly CellOutput[], nowMs: number): void {
    for (const decision of decisions) {
      if (decision.kind === 'grant') {
        this.state.granted(decision.grant, this.state.instance, nowMs);
      }
      if (decision.kind === 'refuse' && !this.mayRunLater(decision.refusal)) {
        this.state.refused(decision.refusal);
      }
    }
  }

  /**
   * With more instances than permits, some instances have no share of an
   * endpoint at all. Their requests wait for the next owner or for a share,
   * instead of being refused in large numbers whenever an owner is lost. They
   * are submitted again like lost requests, and refused at their deadline.
   */
  private mayRunLater(refusal: PermitRefusal): boolean {
    const waiting = this.state.waiting.get(refusal.attempt);
    if (refusal.reason !== 'no_endpoint' || waiting === undefined) return false;
    const {excluded, cheapAllowed} = waiting.ask;
    return this.state.endpoints.some(
      ({id, kind, leaving}) =>
        !leaving &&
        !excluded.includes(id) &&
        (kind === 'regular' || cheapAllowed),
    );
  }
}
