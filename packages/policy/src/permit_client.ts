/** The entry instance's side of a cell: obtains permits for its requests. */

import type {AttemptId, CellId, InstanceId} from '@snipestage/types/ids.js';
import type {
  Allotment,
  CellPermitRequest,
  PermitRelease,
} from '@snipestage/types/permits.js';
import type {CellLoad} from './cell_choice.js';
import type {AttemptProgress, CellOutput} from './cell_messages.js';
import {ClientFallback} from './client_fallback.js';
import type {
  CellConfigurationInput,
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
import type {PendingRequest} from './pending_requests.js';

const DEFAULT_MAX_WAITING = 2000;
/**
 * How long after its deadline a request still waits for the owner's refusal.
 */
const REFUSAL_GRACE_MS = 1000;
const LATE_RETRY_AFTER_MS = 1000;

/** Options of {@link PermitClient}. */
export interface PermitClientOptions extends OwnerMessageTimes {
  readonly cell: CellId;
  /** This entry instance. */
  readonly instance: InstanceId;
  readonly random: RandomSource;
  readonly policy?: PolicyName;
  readonly maxWaiting?: number;
}

/**
 * Starts requests under the instance's allotment, and otherwise requests
 * permits from the owner. While no owner answers it decides alone, within its
 * own share of each limit. Running attempts continue through every change of
 * owner.
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
  /** Incarnation of the owner that sent the allotment. */
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
   * Applies a change of the endpoints, classes or live instances of the cell.
   *
   * @example
   * client.configure({kind: 'instance_gone', instance}, nowMs);
   */
  configure(input: CellConfigurationInput, nowMs: number): ClientOutput[] {
    this.state.configure(input);
    this.fallback.configure(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Requests a permit. Results in `start` or `refused`, at once or later,
   * unless the request is withdrawn.
   *
   * @example
   * const outputs = client.request(ask, performance.now());
   */
  request(ask: CellPermitRequest, nowMs: number): ClientOutput[] {
    const {state} = this;
    if (state.isKnown(ask.attempt)) return [];
    if (this.startIfAllotted(ask, nowMs)) state.waiting.startedAtOnce(nowMs);
    else this.requestPermit(state.waiting.add(ask, nowMs), nowMs);
    return state.takeOutputs();
  }

  /**
   * Withdraws a waiting request whose caller hung up or whose key was
   * withdrawn.
   *
   * @example
   * client.withdraw(attempt, nowMs);
   */
  withdraw(attempt: AttemptId, nowMs: number): ClientOutput[] {
    if (this.state.waiting.remove(attempt) !== undefined) {
      this.messages.notify({kind: 'withdraw', attempt}, nowMs);
    }
    return this.state.takeOutputs();
  }

  /**
   * Handles a decision of an owner.
   *
   * @example
   * client.receive(output, ownerInstance, nowMs);
   */
  receive(output: CellOutput, from: InstanceId, nowMs: number): ClientOutput[] {
    const {state} = this;
    if (from !== state.owner) {
      if (output.kind === 'grant') state.returnUnusedPermit(output.grant, from);
      return state.takeOutputs();
    }
    this.messages.resetSilence();
    if (this.fallback.isActive) this.switchToOwner(nowMs);
    if (output.kind === 'grant') state.granted(output.grant, from, nowMs);
    if (output.kind === 'refuse') state.refused(output.refusal);
    if (output.kind === 'allot') this.allotted(output.allotment, nowMs);
    return state.takeOutputs();
  }

  /**
   * Releases the permit of a started attempt, however the attempt ended.
   *
   * @example
   * client.release(release, nowMs);
   */
  release(release: PermitRelease, nowMs: number): ClientOutput[] {
    const {allotment, instance, running} = this.state;
    const permit = running.end(release.attempt);
    if (permit === undefined) return [];
    if (permit.underAllotment) allotment.returnPermit(permit.endpoint);
    this.messages.notify({kind: 'release', instance, release}, nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Records the tokens that running attempts have produced so far. They are
   * sent to the owner at intervals, so that this may be called for each token.
   *
   * @example
   * client.progress([{attempt, outputTokens: 40}], nowMs);
   */
  progress(all: readonly AttemptProgress[], nowMs: number): ClientOutput[] {
    this.state.running.progress(all, nowMs);
    this.messages.sendProgress(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Sets the owner of the cell: another instance, or the same one again after a
   * restart or a broken connection; `null` if none can be reached.
   *
   * @example
   * client.ownerChanged(null, nowMs); // decides alone from now on
   */
  ownerChanged(owner: InstanceId | null, nowMs: number): ClientOutput[] {
    const staysInFallback = owner === null && this.fallback.isActive;
    this.state.owner = owner;
    this.ownerTerm = undefined;
    this.messages.resetSilence();
    if (staysInFallback) return [];
    this.state.dropAllotment();
    if (owner === null) this.startFallback(nowMs);
    else this.switchToOwner(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Advances the time: sends what is due, and handles time-outs.
   *
   * @example
   * setInterval(() => carryOut(client.tick(performance.now())), 50);
   */
  tick(nowMs: number): ClientOutput[] {
    this.messages.sendProgress(nowMs);
    this.fallback.tick(nowMs);
    this.refuseLate(nowMs);
    this.messages.repeatRequests(nowMs);
    if (this.state.owner !== null) this.checkOwner(nowMs);
    return this.state.takeOutputs();
  }

  /**
   * Load that a request sent to this cell now would meet.
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
   * Starts a request under the allotment if possible; true if started. Only
   * done while no request of this instance waits, since a request of an equal
   * or lower tier must not overtake a waiting one.
   */
  private startIfAllotted(ask: CellPermitRequest, nowMs: number): boolean {
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

  private requestPermit(request: PendingRequest, nowMs: number): void {
    const needsFallback = this.state.owner === null && !this.fallback.isActive;
    if (needsFallback) this.startFallback(nowMs);
    else this.messages.ask(request, nowMs);
  }

  private allotted(allotment: Allotment, nowMs: number): void {
    this.detectOwnerRestart(allotment, nowMs);
    if (!this.state.allotment.apply(allotment)) return;
    const {instance} = this.state;
    const {sequence} = allotment;
    this.messages.notify(
      {kind: 'allotment_applied', instance, sequence},
      nowMs,
    );
  }

  /**
   * Detects that the owner's process has restarted under the same instance id,
   * which the membership may not show. The new incarnation numbers allotments
   * from the start and does not know what runs; without this check its
   * allotments would be taken for old ones.
   */
  private detectOwnerRestart({term}: Allotment, nowMs: number): void {
    const restarted = this.ownerTerm !== undefined && this.ownerTerm !== term;
    this.ownerTerm = term;
    if (!restarted) return;
    this.state.dropAllotment();
    this.switchToOwner(nowMs);
  }

  private switchToOwner(nowMs: number): void {
    this.fallback.end();
    this.messages.sendInUse(nowMs);
    this.messages.requestAllWaiting(nowMs);
  }

  private startFallback(nowMs: number): void {
    this.state.dropAllotment();
    this.fallback.begin(nowMs);
    this.messages.requestAllWaiting(nowMs);
  }

  /** Repeats what may have been lost, and detects a silent owner. */
  private checkOwner(nowMs: number): void {
    this.messages.repeatInUse(nowMs);
    if (this.fallback.isActive) return;
    if (this.messages.isOwnerSilent(nowMs)) this.startFallback(nowMs);
  }

  /** Refuses requests that the owner should have refused and did not. */
  private refuseLate(nowMs: number): void {
    for (const {ask, deadlineAtMs} of this.state.waiting.all()) {
      if (nowMs < deadlineAtMs + REFUSAL_GRACE_MS) continue;
      const {attempt} = ask;
      this.messages.notify({kind: 'withdraw', attempt}, nowMs);
      this.state.refused({
        attempt,
        reason: 'deadline_unreachable',
        retryAfterMs: LATE_RETRY_AFTER_MS,
      });
    }
  }
}
