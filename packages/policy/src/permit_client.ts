/** The entry instance's side of a cell: from a request to leave to run it. */

import type {AttemptId, CellId, InstanceId} from '@snipestage/types/ids.js';
import type {
  Allotment,
  PermitAsk,
  PermitRelease,
} from '@snipestage/types/permits.js';
import type {CellLoad} from './cell_choice.js';
import type {AttemptProgress, CellInput, CellOutput} from './cell_messages.js';
import {ClientFallback} from './client_fallback.js';
import type {
  CellConfiguration,
  ClientOutput,
  PermitClientSnapshot,
} from './client_messages.js';
import {ClientState} from './client_state.js';
import {OwnerWatch} from './owner_watch.js';
import {
  createPolicySet,
  type PolicyName,
  type PolicySet,
} from './policy_set.js';
import type {RandomSource} from './random_source.js';
import type {WaitingAsk} from './waiting_asks.js';

const DEFAULT_MAX_WAITING = 2000;
const DEFAULT_OWNER_SILENT_AFTER_MS = 700;
const DEFAULT_REPEAT_ASK_MS = 300;
const DEFAULT_REPEAT_IN_USE_MS = 5000;
const DEFAULT_PROGRESS_EVERY_MS = 500;
/** Asks said again in one tick. */
const MAX_REPEATED_ASKS = 2;
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
  /** Silence after what an owner always answers; then it is taken as lost. */
  readonly ownerSilentAfterMs?: number;
  readonly repeatAskMs?: number;
  readonly repeatInUseMs?: number;
  /** How often the owner is told of tokens produced. */
  readonly progressEveryMs?: number;
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
  private readonly state: ClientState;
  private readonly fallback: ClientFallback;
  private readonly watch: OwnerWatch;
  /** Which life of the owner the allotment is from. */
  private ownerTerm: number | undefined;
  private toldInUseAtMs = -Infinity;
  private toldProgressAtMs = -Infinity;

  constructor(options: PermitClientOptions) {
    this.options = {
      ...options,
      policy: options.policy ?? 'tiered',
      maxWaiting: options.maxWaiting ?? DEFAULT_MAX_WAITING,
      ownerSilentAfterMs:
        options.ownerSilentAfterMs ?? DEFAULT_OWNER_SILENT_AFTER_MS,
      repeatAskMs: options.repeatAskMs ?? DEFAULT_REPEAT_ASK_MS,
      repeatInUseMs: options.repeatInUseMs ?? DEFAULT_REPEAT_IN_USE_MS,
      progressEveryMs: options.progressEveryMs ?? DEFAULT_PROGRESS_EVERY_MS,
    };
    const {policy, ownerSilentAfterMs} = this.options;
    this.policy = createPolicySet(policy);
    this.state = new ClientState(options);
    this.fallback = new ClientFallback({...this.options, state: this.state});
    this.watch = new OwnerWatch(ownerSilentAfterMs);
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
      this.tell({kind: 'withdraw', attempt}, nowMs);
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
    this.watch.heard();
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
    this.tell({kind: 'release', instance, release}, nowMs);
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
    this.tellProgress(nowMs);
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
    this.watch.heard();
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
    this.tellProgress(nowMs);
    this.fallback.tick(nowMs);
    this.refuseLate(nowMs);
    this.repeatAsks(nowMs);
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
    const chosen = this.policy.choice.choose(ask, views, this.options.random);
    allotment.use(chosen.id);
    const start = {ask, endpoint: chosen.id, underAllotment: true, nowMs};
    const permits = [this.state.start(start)];
    this.state.send({kind: 'started', instance, permits});
    return true;
  }

  private askFor(request: WaitingAsk, nowMs: number): void {
    request.askedAtMs = nowMs;
    const remainingMs = Math.max(0, request.deadlineAtMs - nowMs);
    const input: CellInput = {kind: 'ask', ask: {...request.ask, remainingMs}};
    if (this.fallback.isActive) return this.fallback.receive(input, nowMs);
    if (this.state.owner === null) return this.decideAlone(nowMs);
    this.state.send(input);
  }

  private allotted(allotment: Allotment, nowMs: number): void {
    this.noticeTerm(allotment, nowMs);
    if (!this.state.allotment.apply(allotment)) return;
    const {instance} = this.state;
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
    this.state.dropAllotment();
    this.joinOwner(nowMs);
  }

  private joinOwner(nowMs: number): void {
    this.fallback.end();
    this.tellInUse(nowMs);
    this.askForAll(nowMs);
  }

  private decideAlone(nowMs: number): void {
    this.state.dropAllotment();
    this.fallback.begin(nowMs);
    this.askForAll(nowMs);
  }

  private askForAll(nowMs: number): void {
    for (const request of this.state.waiting.all()) {
      this.askFor(request, nowMs);
    }
  }

  /** Says again what may have been lost, and notices an owner that is silent. */
  private remindOwner(nowMs: number): void {
    this.repeatInUse(nowMs);
    if (this.fallback.isActive) return;
    if (this.watch.isSilent(nowMs)) this.decideAlone(nowMs);
  }

  private tellProgress(nowMs: number): void {
    if (nowMs - this.toldProgressAtMs < this.options.progressEveryMs) return;
    this.toldProgressAtMs = nowMs;
    const progress = this.state.running.takeProgress();
    if (progress.length === 0) return;
    const {instance} = this.state;
    this.tell({kind: 'progress', instance, progress}, nowMs);
  }

  private repeatInUse(nowMs: number): void {
    const {repeatAskMs, repeatInUseMs} = this.options;
    const everyMs = this.fallback.isActive ? repeatAskMs : repeatInUseMs;
    if (nowMs - this.toldInUseAtMs >= everyMs) this.tellInUse(nowMs);
  }

  private tellInUse(nowMs: number): void {
    this.toldInUseAtMs = nowMs;
    this.watch.asked(nowMs);
    this.state.sendInUse();
  }

  /**
   * A lost ask would wait for ever; and an owner that has nothing to say can't
   * be told from a dead one unless it is asked something that it answers.
   */
  private repeatAsks(nowMs: number): void {
    const {repeatAskMs} = this.options;
    const due = this.state.waiting
      .all()
      .filter(({askedAtMs}) => nowMs - askedAtMs >= repeatAskMs);
    for (const request of due.slice(0, MAX_REPEATED_ASKS)) {
      this.watch.asked(nowMs);
      this.askFor(request, nowMs);
    }
  }

  /** Refuses what its owner should have refused, and did not. */
  private refuseLate(nowMs: number): void {
    for (const {ask, deadlineAtMs} of this.state.waiting.all()) {
      if (nowMs < deadlineAtMs + LATE_REFUSAL_MS) continue;
      const {attempt} = ask;
      this.tell({kind: 'withdraw', attempt}, nowMs);
      this.state.refused({
        attempt,
        reason: 'deadline_unreachable',
        retryAfterMs: LATE_RETRY_AFTER_MS,
      });
    }
  }

  /** Tells whoever decides; the owner too when it is only silent. */
  private tell(input: CellInput, nowMs: number): void {
    this.fallback.receive(input, nowMs);
    this.state.send(input);
  }
}
