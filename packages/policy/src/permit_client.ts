/** The entry instance's side of a cell: from a request to leave to run it. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {AttemptId, CellId, InstanceId} from '@snipestage/types/ids.js';
import type {
  Allotment,
  PermitAsk,
  PermitGrant,
  PermitInUse,
  PermitRefusal,
  PermitRelease,
} from '@snipestage/types/permits.js';
import type {
  AttemptProgress,
  CellEndpoint,
  CellInput,
  CellOutput,
} from './cell_messages.js';
import type {CellLoad} from './cell_choice.js';
import {ClientAllotment} from './client_allotment.js';
import type {
  CellConfiguration,
  ClientOutput,
  PermitClientSnapshot,
} from './client_messages.js';
import {FallbackOwner} from './fallback_owner.js';
import {
  createPolicySet,
  type PolicyName,
  type PolicySet,
} from './policy_set.js';
import {OwnerWatch} from './owner_watch.js';
import type {RandomSource} from './random_source.js';
import {RunningAttempts, type AttemptStart} from './running_attempts.js';
import {WaitingAsks, type WaitingAsk} from './waiting_asks.js';

const DEFAULT_MAX_WAITING = 2000;
const DEFAULT_OWNER_SILENT_AFTER_MS = 1500;
const DEFAULT_REPEAT_ASK_MS = 500;
const DEFAULT_REPEAT_IN_USE_MS = 5000;
/** Asks said again in one tick. */
const MAX_REPEATED_ASKS = 20;
/** How long past its deadline a request waits for the owner's refusal. */
const LATE_REFUSAL_MS = 1000;
const LATE_RETRY_AFTER_MS = 1000;

/** What a {@link PermitClient} is made from. */
export interface PermitClientOptions {
  readonly cell: CellId;
  /** This entry instance. */
  readonly instance: InstanceId;
  readonly random: RandomSource;
  readonly policy?: PolicyName;
  readonly maxWaiting?: number;
  /** Silence of an owner that was asked, after which it is taken as lost. */
  readonly ownerSilentAfterMs?: number;
  readonly repeatAskMs?: number;
  readonly repeatInUseMs?: number;
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
  private readonly options: Required<PermitClientOptions>;
  private readonly policy: PolicySet;
  private readonly watch: OwnerWatch;
  private readonly allotment = new ClientAllotment();
  private readonly waiting = new WaitingAsks();
  private readonly running = new RunningAttempts();
  private readonly instances = new Set<InstanceId>();
  private endpoints: readonly CellEndpoint[] = [];
  private classes: readonly RequestClass[] = [];
  private owner: InstanceId | null = null;
  private fallback: FallbackOwner | undefined;
  /** Which life of the owner the allotment is from. */
  private ownerTerm: number | undefined;
  private toldInUseAtMs = -Infinity;
  private outputs: ClientOutput[] = [];

  constructor(options: PermitClientOptions) {
    this.options = {
      ...options,
      policy: options.policy ?? 'tiered',
      maxWaiting: options.maxWaiting ?? DEFAULT_MAX_WAITING,
      ownerSilentAfterMs:
        options.ownerSilentAfterMs ?? DEFAULT_OWNER_SILENT_AFTER_MS,
      repeatAskMs: options.repeatAskMs ?? DEFAULT_REPEAT_ASK_MS,
      repeatInUseMs: options.repeatInUseMs ?? DEFAULT_REPEAT_IN_USE_MS,
    };
    this.policy = createPolicySet(this.options.policy);
    this.watch = new OwnerWatch(this.options.ownerSilentAfterMs);
    this.instances.add(options.instance);
  }

  /**
   * Takes in the endpoints, classes and live instances of the cell.
   *
   * @example
   * client.configure({kind: 'instance_gone', instance}, nowMs);
   */
  configure(input: CellConfiguration, nowMs: number): ClientOutput[] {
    if (input.kind === 'endpoints') this.endpoints = input.endpoints;
    if (input.kind === 'classes') this.classes = input.classes;
    if (input.kind === 'instance_joined') this.instances.add(input.instance);
    if (input.kind === 'instance_gone') this.instances.delete(input.instance);
    this.instances.add(this.options.instance);
    this.configureFallback(nowMs);
    return this.takeOutputs();
  }

  /**
   * A request wants to run. Ends in `start` or `refused`, at once or later,
   * unless it is withdrawn.
   *
   * @example
   * const outputs = client.request(ask, performance.now());
   */
  request(ask: PermitAsk, nowMs: number): ClientOutput[] {
    if (this.waiting.has(ask.attempt) || this.running.get(ask.attempt)) {
      return [];
    }
    if (this.startUnasked(ask)) this.waiting.startedAtOnce(nowMs);
    else this.askFor(this.waiting.add(ask, nowMs), nowMs);
    return this.takeOutputs();
  }

  /**
   * The caller has hung up or its key was withdrawn while the request waited.
   *
   * @example
   * client.withdraw(attempt, nowMs);
   */
  withdraw(attempt: AttemptId, nowMs: number): ClientOutput[] {
    if (this.waiting.remove(attempt) !== undefined) {
      this.tell({kind: 'withdraw', attempt}, nowMs);
    }
    return this.takeOutputs();
  }

  /**
   * Takes a decision of an owner.
   *
   * @example
   * client.receive(output, ownerInstance, nowMs);
   */
  receive(output: CellOutput, from: InstanceId, nowMs: number): ClientOutput[] {
    if (from !== this.owner) {
      if (output.kind === 'grant') this.giveBackUnused(output.grant, from);
      return this.takeOutputs();
    }
    this.watch.heard();
    if (this.fallback !== undefined) this.joinOwner(nowMs);
    if (output.kind === 'grant') this.granted(output.grant, from, nowMs);
    if (output.kind === 'refuse') this.refused(output.refusal);
    if (output.kind === 'allot') this.allotted(output.allotment, nowMs);
    return this.takeOutputs();
  }

  /**
   * An attempt that was started has ended, however it ended.
   *
   * @example
   * client.release(release, nowMs);
   */
  release(release: PermitRelease, nowMs: number): ClientOutput[] {
    const permit = this.running.end(release.attempt);
    if (permit === undefined) return [];
    if (permit.underAllotment) this.allotment.giveBack(permit.endpoint);
    const {instance} = this.options;
    this.tell({kind: 'release', instance, release}, nowMs);
    return this.takeOutputs();
  }

  /**
   * Tokens that running attempts have produced so far.
   *
   * @example
   * client.progress([{attempt, outputTokens: 40}], nowMs);
   */
  progress(all: readonly AttemptProgress[], nowMs: number): ClientOutput[] {
    const known = this.running.progress(all);
    const {instance} = this.options;
    if (known.length > 0) {
      this.tell({kind: 'progress', instance, progress: known}, nowMs);
    }
    return this.takeOutputs();
  }

  /**
   * Another instance owns the cell, or the same one anew after a restart or a
   * broken connection; `null` when none can be reached.
   *
   * @example
   * client.ownerChanged(null, nowMs); // decides alone from now on
   */
  ownerChanged(owner: InstanceId | null, nowMs: number): ClientOutput[] {
    const alreadyAlone = owner === null && this.fallback !== undefined;
    this.owner = owner;
    this.ownerTerm = undefined;
    this.watch.heard();
    if (alreadyAlone) return [];
    this.dropAllotment();
    if (owner === null) this.decideAlone(nowMs);
    else this.joinOwner(nowMs);
    return this.takeOutputs();
  }

  /**
   * Lets time pass.
   *
   * @example
   * setInterval(() => carryOut(client.tick(performance.now())), 50);
   */
  tick(nowMs: number): ClientOutput[] {
    if (this.fallback !== undefined) {
      this.carryOut(this.fallback.tick(nowMs), nowMs);
    }
    this.refuseLate(nowMs);
    if (this.owner === null) return this.takeOutputs();
    this.repeatInUse(nowMs);
    if (this.fallback === undefined) {
      this.repeatAsks(nowMs);
      if (this.watch.isSilent(nowMs)) this.decideAlone(nowMs);
    }
    return this.takeOutputs();
  }

  /**
   * What a request that is sent to this cell now has to expect.
   *
   * @example
   * chooseCell({loads: clients.map(client => client.load(nowMs)), random});
   */
  load(nowMs: number): CellLoad {
    return {
      cell: this.options.cell,
      freePermits: this.allotment.free,
      waiting: this.waiting.size,
      expectedWaitMs: this.waiting.expectedWaitMs(nowMs),
    };
  }

  /** Plain data for the state dump. */
  snapshot(nowMs: number): PermitClientSnapshot {
    return {
      cell: this.options.cell,
      owner: this.owner,
      waiting: this.waiting.size,
      running: this.running.size,
      allotment: this.allotment.snapshot(),
      fallback: this.fallback?.snapshot(nowMs),
    };
  }

  /**
   * Only while nothing of this instance waits: what waits has asked, and an
   * equal or lower tier must not pass it.
   */
  private startUnasked(ask: PermitAsk): boolean {
    if (this.fallback !== undefined || this.owner === null) return false;
    if (ask.suspect || this.waiting.size > 0) return false;
    const views = this.allotment.viewsFor(ask, this.endpoints);
    if (views.length === 0) return false;
    const {random, instance} = this.options;
    const {id} = this.policy.choice.choose(ask, views, random);
    this.allotment.use(id);
    const permit = this.start({ask, endpoint: id, underAllotment: true});
    this.send({kind: 'started', instance, permits: [permit]});
    return true;
  }

  private start(start: AttemptStart): PermitInUse {
    const {ask, endpoint} = start;
    this.outputs.push({kind: 'start', attempt: ask.attempt, endpoint});
    return this.running.start(start);
  }

  private askFor(request: WaitingAsk, nowMs: number): void {
    request.askedAtMs = nowMs;
    const remainingMs = Math.max(0, request.deadlineAtMs - nowMs);
    const input: CellInput = {kind: 'ask', ask: {...request.ask, remainingMs}};
    if (this.fallback !== undefined) {
      this.carryOut(this.fallback.receive(input, nowMs), nowMs);
      return;
    }
    if (this.owner === null) return this.decideAlone(nowMs);
    this.watch.asked(nowMs);
    this.send(input);
  }

  private granted(grant: PermitGrant, from: InstanceId, nowMs: number): void {
    const request = this.waiting.started(grant.attempt, nowMs);
    if (request === undefined) return this.giveBackUnused(grant, from);
    const {ask} = request;
    this.start({ask, endpoint: grant.endpoint, underAllotment: false});
  }

  /**
   * A permit for an attempt that has ended, or runs elsewhere because its owner
   * was silent: kept, it would never come free.
   */
  private giveBackUnused(grant: PermitGrant, from: InstanceId): void {
    const {attempt, endpoint} = grant;
    const inUse = this.running.get(attempt);
    if (inUse?.endpoint === endpoint && from === this.owner) return;
    const {cell, instance} = this.options;
    const release: PermitRelease = {
      attempt,
      cell,
      endpoint,
      outcome: 'cancelled',
      outputTokens: 0,
      promptTokens: 0,
    };
    const input: CellInput = {kind: 'release', instance, release};
    this.outputs.push({kind: 'tell_owner', owner: from, input});
    if (inUse !== undefined && from === this.owner) this.sendInUse();
  }

  private refused(refusal: PermitRefusal): void {
    const {attempt} = refusal;
    if (this.waiting.remove(attempt) === undefined) return;
    this.outputs.push({kind: 'refused', attempt, refusal});
  }

  private allotted(allotment: Allotment, nowMs: number): void {
    this.noticeTerm(allotment, nowMs);
    if (!this.allotment.apply(allotment)) return;
    const {instance} = this.options;
    const {sequence} = allotment;
    this.tell({kind: 'allotment_applied', instance, sequence}, nowMs);
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
    this.dropAllotment();
    this.joinOwner(nowMs);
  }

  /** What runs under it is from now on told one by one. */
  private dropAllotment(): void {
    this.allotment.reset();
    this.running.leaveAllotment();
  }

  private joinOwner(nowMs: number): void {
    this.fallback = undefined;
    this.sendInUse();
    this.toldInUseAtMs = nowMs;
    for (const request of this.waiting.all()) this.askFor(request, nowMs);
  }

  private decideAlone(nowMs: number): void {
    const {cell, instance, random, policy, maxWaiting} = this.options;
    this.dropAllotment();
    this.fallback = new FallbackOwner({
      cell,
      instance,
      random,
      startedAtMs: nowMs,
      policy,
      maxWaiting,
    });
    const permits = this.running.all();
    this.fallback.receive({kind: 'in_use', instance, permits}, nowMs);
    this.configureFallback(nowMs);
    for (const request of this.waiting.all()) {
      this.askFor(request, nowMs);
    }
  }

  private configureFallback(nowMs: number): void {
    if (this.fallback === undefined) return;
    const view = {
      endpoints: this.endpoints,
      classes: this.classes,
      instances: [...this.instances],
      learntLimits: this.allotment.learntLimits,
    };
    this.carryOut(this.fallback.configure(view, nowMs), nowMs);
  }

  /** Does what the instance has decided alone. */
  private carryOut(decisions: readonly CellOutput[], nowMs: number): void {
    for (const decision of decisions) {
      if (decision.kind === 'grant') {
        this.granted(decision.grant, this.options.instance, nowMs);
      }
      if (decision.kind === 'refuse') {
        this.refused(this.asOwnShare(decision.refusal));
      }
    }
  }

  /** No endpoint in this instance's share is not the same as none at all. */
  private asOwnShare(refusal: PermitRefusal): PermitRefusal {
    const ask = this.waiting.get(refusal.attempt)?.ask;
    if (refusal.reason !== 'no_endpoint' || ask === undefined) return refusal;
    const served = this.endpoints.some(({leaving}) => !leaving);
    return served ? {...refusal, reason: 'overloaded'} : refusal;
  }

  private repeatInUse(nowMs: number): void {
    const everyMs =
      this.fallback === undefined
        ? this.options.repeatInUseMs
        : this.options.repeatAskMs;
    if (nowMs - this.toldInUseAtMs < everyMs) return;
    this.toldInUseAtMs = nowMs;
    this.sendInUse();
  }

  /**
   * A lost ask would wait for ever; and an owner that has nothing to say can't
   * be told from a dead one unless it is asked something that it answers.
   */
  private repeatAsks(nowMs: number): void {
    let repeated = 0;
    for (const request of this.waiting.all()) {
      if (nowMs - request.askedAtMs < this.options.repeatAskMs) continue;
      this.askFor(request, nowMs);
      if (++repeated >= MAX_REPEATED_ASKS) return;
    }
  }

  /** Refuses what its owner should have refused, and did not. */
  private refuseLate(nowMs: number): void {
    for (const {ask, deadlineAtMs} of this.waiting.all()) {
      if (nowMs < deadlineAtMs + LATE_REFUSAL_MS) continue;
      const {attempt} = ask;
      this.tell({kind: 'withdraw', attempt}, nowMs);
      this.refused({
        attempt,
        reason: 'deadline_unreachable',
        retryAfterMs: LATE_RETRY_AFTER_MS,
      });
    }
  }

  /** Tells whoever decides; the owner too when it is only silent. */
  private tell(input: CellInput, nowMs: number): void {
    if (this.fallback !== undefined) {
      this.carryOut(this.fallback.receive(input, nowMs), nowMs);
    }
    this.send(input);
  }

  private sendInUse(): void {
    const {instance} = this.options;
    const permits = this.running.all();
    this.send({kind: 'in_use', instance, permits});
  }

  private send(input: CellInput): void {
    if (this.owner === null) return;
    this.outputs.push({kind: 'tell_owner', owner: this.owner, input});
  }

  private takeOutputs(): ClientOutput[] {
    const outputs = this.outputs;
    this.outputs = [];
    return outputs;
  }
}
