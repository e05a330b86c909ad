/** The entry instance's side of a cell: from a request to leave to run it. */

import type {AttemptId, CellId, InstanceId} from '@snipestage/types/ids.js';
import type {
  Allotment,
  PermitAsk,
  PermitRelease,
} from '@snipestage/types/permits.js';
import type {CellLoad} from './cell_choice.js';
import type {AttemptProgress, CellOutput} from './cell_messages.js';
import {ClientFallback} from './client_fallback.js';
import type {
  CellConfiguration,
  ClientOutput,
  PermitClientSnapshot,
} from './client_messages.js';
import {ClientState} from './client_state.js';
import {OwnerMessages, type OwnerMessageTimes} from './owner_messages.js';
import {
  createPolicySet,
  type PolicyName,
  type PolicySet,
} from './policy_set.js';
import type {RandomSource} from './random_source.js';
import type {WaitingAsk} from './waiting_asks.js';

const DEFAULT_MAX_WAITING = 2000;
/** How long past its deadline a request waits for the owner's refusal. */
const LATE_REFUSAL_MS = 1000;
const LATE_RETRY_AFTER_MS = 1000;

/** What a {@link PermitClient} is made from. */
export interface PermitClientOptions extends OwnerMessageTimes {
  readonly cell: CellId;
  /** This entry instance. */
  readonly instance: InstanceId;
  readonly random: RandomSource;
  readonly policy?: PolicyName;
  readonly maxWaiting?: number;
}

/**
 * Starts requests under the instance's allotment, asks the owner otherwise, and
 * decides alone, over its own share, while no owner answers. What runs keeps
 * running through every change of owner.
 *
 * @example
 * const client = new PermitClient({cell, instance, random: Math.random});
 * client.configure({kind: 'endpoints', endpoints}, nowMs);
 * client.ownerChanged(owner, nowMs);
 * const outputs = client.request(ask, nowMs);
 */
export class PermitClient {
  private readonly random: RandomSource;
  private readonly policy: PolicySet;
  private readonly state: ClientState;
  private readonly fallback: ClientFallback;
  private readonly messages: OwnerMessages;
  /** Which life of the owner the allotment is from. */
  private ownerTerm: number | undefined;

  constructor(options: PermitClientOptions) {
    const {
      random,
      policy = 'tiered',
      maxWaiting = DEFAULT_MAX_WAITING,
    } = options;
    const state = new ClientState(options);
    const fallback = new ClientFallback({state, random, policy, maxWaiting});
    this.random = random;
    this.policy = createPolicySet(policy);
    this.state = state;
    this.fallback = fallback;
    this.messages = new OwnerMessages({...options, state, fallback});
  }

  /**
   * Takes in the endpoints, classes and live instances of the cell.
   *
   * @example
   * client.configure({kind: 'instance_gone', instance}, nowMs);
   */
  configure(input: CellConfiguration, nowMs: number): ClientOutput[] {
    this.state.configure(input);
    this.fallback.configure(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * A request wants to run. Ends in `start` or `refused`, at once or later,
   * unless it is withdrawn.
   *
   * @example
   * const outputs = client.request(ask, performance.now());
   */
  request(ask: PermitAsk, nowMs: number): ClientOutput[] {
    const {state} = this;
    if (state.isKnown(ask.attempt)) return [];
    if (this.startUnasked(ask, nowMs)) state.waiting.startedAtOnce(nowMs);
    else this.askFor(state.waiting.add(ask, nowMs), nowMs);
    return state.takeOutputs();
  }

  /**
   * The caller has hung up or its key was withdrawn while the request waited.
   *
   * @example
   * client.withdraw(attempt, nowMs);
   */
  withdraw(attempt: AttemptId, nowMs: number): ClientOutput[] {
    if (this.state.waiting.remove(attempt) !== undefined) {
      this.messages.tell({kind: 'withdraw', attempt}, nowMs);
    }
    return this.state.takeOutputs();
  }

  /**
   * Takes a decision of an owner.
   *
   * @example
   * client.receive(output, ownerInstance, nowMs);
   */
  receive(output: CellOutput, from: InstanceId, nowMs: number): ClientOutput[] {
    const {state} = this;
    if (from !== state.owner) {
      if (output.kind === 'grant') state.giveBackUnused(output.grant, from);
      return state.takeOutputs();
    }
    this.messages.heard();
    if (this.fallback.isActive) this.joinOwner(nowMs);
    if (output.kind === 'grant') state.granted(output.grant, from, nowMs);
    if (output.kind === 'refuse') state.refused(output.refusal);
    if (output.kind === 'allot') this.allotted(output.allotment, nowMs);
    return state.takeOutputs();
  }

  /**
   * An attempt that was started has ended, however it ended.
   *
   * @example
   * client.release(release, nowMs);
   */
  release(release: PermitRelease, nowMs: number): ClientOutput[] {
    const {allotment, instance, running} = this.state;
    const permit = running.end(release.attempt);
    if (permit === undefined) return [];
    if (permit.underAllotment) allotment.giveBack(permit.endpoint);
    this.messages.tell({kind: 'release', instance, release}, nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Tokens that running attempts have produced so far. Told to the owner from
   * time to time, so that it may be called for each token.
   *
   * @example
   * client.progress([{attempt, outputTokens: 40}], nowMs);
   */
  progress(all: readonly AttemptProgress[], nowMs: number): ClientOutput[] {
    this.state.running.progress(all, nowMs);
    this.messages.tellProgress(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Another instance owns the cell, or the same one anew after a restart or a
   * broken connection; `null` when none can be reached.
   *
   * @example
   * client.ownerChanged(null, nowMs); // decides alone from now on
   */
  ownerChanged(owner: InstanceId | null, nowMs: number): ClientOutput[] {
    const alreadyAlone = owner === null && this.fallback.isActive;
    this.state.owner = owner;
    this.ownerTerm = undefined;
    this.messages.heard();
    if (alreadyAlone) return [];
    this.state.dropAllotment();
    if (owner === null) this.decideAlone(nowMs);
    else this.joinOwner(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Lets time pass.
   *
   * @example
   * setInterval(() => carryOut(client.tick(performance.now())), 50);
   */
  tick(nowMs: number): ClientOutput[] {
    this.messages.tellProgress(nowMs);
    this.fallback.tick(nowMs);
    this.refuseLate(nowMs);
    this.messages.repeatAsks(nowMs);
    if (this.state.owner !== null) this.remindOwner(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * What a request that is sent to this cell now has to expect.
   *
   * @example
   * chooseCell({loads: clients.map(client => client.load(nowMs)), random});
   */
  load(nowMs: number): CellLoad {
    const {cell, allotment, waiting} = this.state;
    return {
      cell,
      freePermits: allotment.free,
      waiting: waiting.size,
      expectedWaitMs: waiting.expectedWaitMs(nowMs),
    };
  }

  /** Plain data for the state dump. */
  snapshot(nowMs: number): PermitClientSnapshot {
    const {cell, owner, waiting, running, allotment} = this.state;
    return {
      cell,
      owner,
      waiting: waiting.size,
      running: running.size,
      allotment: allotment.snapshot(),
      fallback: this.fallback.snapshot(nowMs),
    };
  }

  /**
   * Only while nothing of this instance waits: what waits has asked, and an
   * equal or lower tier must not pass it.
   */
  private startUnasked(ask: PermitAsk, nowMs: number): boolean {
    const {allotment, endpoints, instance, owner, waiting} = this.state;
    if (this.fallback.isActive || owner === null) return false;
    if (ask.suspect || waiting.size > 0) return false;
    const views = allotment.viewsFor(ask, endpoints);
    if (views.length === 0) return false;
    const chosen = this.policy.choice.choose(ask, views, this.random);
    allotment.use(chosen.id);
    const start = {ask, endpoint: chosen.id, underAllotment: true, nowMs};
    const permits = [this.state.start(start)];
    this.state.send({kind: 'started', instance, permits});
    return true;
  }

  private askFor(request: WaitingAsk, nowMs: number): void {
    const nobodyDecides = this.state.owner === null && !this.fallback.isActive;
    if (nobodyDecides) this.decideAlone(nowMs);
    else this.messages.ask(request, nowMs);
  }

  private allotted(allotment: Allotment, nowMs: number): void {
    this.noticeTerm(allotment, nowMs);
    if (!this.state.allotment.apply(allotment)) return;
    const {instance} = this.state;
    const {sequence} = allotment;
    this.messages.tell({kind: 'allotment_applied', instance, sequence}, nowMs);
  }

  /**
   * The owner's process has restarted under its old name, which the membership
   * may not show. Its new life counts allotments from the start and knows nothing
   * of what runs; unnoticed, its allotments would be taken for old ones.
   */
  private noticeTerm({term}: Allotment, nowMs: number): void {
    const restarted = this.ownerTerm !== undefined && this.ownerTerm !== term;
    this.ownerTerm = term;
    if (!restarted) return;
    this.state.dropAllotment();
    this.joinOwner(nowMs);
  }

  private joinOwner(nowMs: number): void {
    this.fallback.end();
    this.messages.tellInUse(nowMs);
    this.messages.askForAll(nowMs);
  }

  private decideAlone(nowMs: number): void {
    this.state.dropAllotment();
    this.fallback.begin(nowMs);
    this.messages.askForAll(nowMs);
  }

  /** Says again what may have been lost, and notices an owner that is silent. */
  private remindOwner(nowMs: number): void {
    this.messages.repeatInUse(nowMs);
    if (this.fallback.isActive) return;
    if (this.messages.isOwnerSilent(nowMs)) this.decideAlone(nowMs);
  }

  /** Refuses what its owner should have refused, and did not. */
  private refuseLate(nowMs: number): void {
    for (const {ask, deadlineAtMs} of this.state.waiting.all()) {
      if (nowMs < deadlineAtMs + LATE_REFUSAL_MS) continue;
      const {attempt} = ask;
      this.messages.tell({kind: 'withdraw', attempt}, nowMs);
      this.state.refused({
        attempt,
        reason: 'deadline_unreachable',
        retryAfterMs: LATE_RETRY_AFTER_MS,
      });
    }
  }
}
