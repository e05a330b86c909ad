/**
 * Attempts of one request: at its endpoint, and a hedged one at
 * another endpoint while the first is silent.
 */

import type {Placed} from '@snipestage/routing/placement.js';
import {
  decideTakeover,
  type TakeoverEvent,
  type TakeoverStep,
} from '@snipestage/routing/takeover.js';
import {worseVerdict, type Verdict} from '@snipestage/types/verdict.js';
import type {MovedRun} from './migration/moved_run.js';
import type {TrackedAttempt, TrackedResult} from './tracked_attempt.js';

/** Functions of an attempt that its owner provides. */
export interface AttemptHooks {
  /** See {@link AttemptOptions}. */
  readonly mayDeliver: () => boolean;
  /** See {@link AttemptOptions}. */
  readonly onSilent: (hasArrived: boolean) => boolean;
}

/** Result of an attempt, and whether it was a hedged one that was withdrawn. */
export interface EndedAttempt {
  readonly attempt: TrackedAttempt;
  readonly result: TrackedResult;
  readonly wasWithdrawn: boolean;
}

/** What may follow when an endpoint hasn't received a request in time. */
export type UnreachedPlan = 'try_next' | 'wait';

const REPORTED_STEPS: ReadonlySet<TakeoverStep> = new Set([
  'withdraw',
  'hand_over',
  'promote',
]);

/** Options of {@link TakeoverAttempts}. */
export interface TakeoverAttemptsOptions {
  readonly create: (
    placed: Placed,
    movedRun: MovedRun | undefined,
    hooks: AttemptHooks,
  ) => TrackedAttempt;
  /**
   * Chooses an endpoint for a hedged attempt while the current one is silent, and
   * takes the retry from the budget; undefined if there may be none.
   */
  readonly planHedge: () => Placed | undefined;
  /** What to do while no connection to the current endpoint is open. */
  readonly planUnreached: () => UnreachedPlan;
  readonly isOver: () => boolean;
  /** Called once for each attempt, in the order in which they end. */
  readonly onEnd: (ended: EndedAttempt) => void;
  /** Called when a hedged attempt is no longer wanted, before its end. */
  readonly onWithdrawn: (attempt: TrackedAttempt) => void;
  readonly onStep: (step: TakeoverStep) => void;
}

/**
 * Runs an attempt, and a hedged one while its endpoint is silent; see
 * {@link decideTakeover}.
 */
export class TakeoverAttempts {
  private current: TrackedAttempt | undefined;
  private hedged: TrackedAttempt | undefined;
  /** Cancelled attempts that haven't ended yet. */
  private readonly withdrawn = new Set<TrackedAttempt>();
  private readonly replaced = new Set<TrackedAttempt>();
  private resolve: (result: TrackedResult) => void = () => undefined;
  private reject: (error: Error) => void = () => undefined;

  constructor(private readonly options: TakeoverAttemptsOptions) {}

  /** Whether an attempt in progress may have run the request. */
  get verdict(): Verdict {
    const verdicts = [this.current, this.hedged].map(
      attempt => attempt?.verdict ?? 'not_run',
    );
    return worseVerdict(verdicts[0], verdicts[1]);
  }

  /** Attempts in progress that may have run the request, but for withdrawn ones. */
  get runs(): number {
    return [this.current, this.hedged, ...this.replaced].filter(
      attempt => attempt !== undefined && attempt.verdict !== 'not_run',
    ).length;
  }

  /**
   * Resolves with the result of the attempt that is the last one left.
   *
   * @param movedRun a stopped run that is continued.
   */
  run(placed: Placed, movedRun?: MovedRun): Promise<TrackedResult> {
    return new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
      this.current = this.start(placed, movedRun);
    });
  }

  /** Cancels all attempts, as nobody waits for their answer any more. */
  cancel(): void {
    this.take('ended');
  }

  private start(
    placed: Placed,
    movedRun: MovedRun | undefined,
  ): TrackedAttempt {
    const attempt = this.options.create(placed, movedRun, {
      mayDeliver: () => this.mayDeliver(attempt),
      onSilent: hasArrived => this.handleSilence(attempt, hasArrived),
    });
    void attempt.run().then(
      result => this.handleEnd(attempt, result),
      (error: Error) => {
        this.take('ended');
        this.reject(error);
      },
    );
    return attempt;
  }

  /** @returns whether the attempt owns the request's answer. */
  private mayDeliver(attempt: TrackedAttempt): boolean {
    if (attempt === this.current) this.take('progress');
    else if (attempt === this.hedged) this.take('accepted');
    return attempt === this.current;
  }

  /** @returns whether the attempt is cancelled. */
  private handleSilence(attempt: TrackedAttempt, hasArrived: boolean): boolean {
    // One attempt is hedged at a time; its endpoint's queue may be long.
    if (attempt !== this.current || this.options.isOver()) return false;
    if (!hasArrived) {
      const mayTryNext = this.options.planUnreached() === 'try_next';
      if (mayTryNext) attempt.cancelAsSilent();
      return mayTryNext;
    }
    this.take('silent', true);
    return false;
  }

  private handleEnd(attempt: TrackedAttempt, result: TrackedResult): void {
    const wasWithdrawn = this.withdrawn.delete(attempt);
    this.replaced.delete(attempt);
    this.options.onEnd({attempt, result, wasWithdrawn});
    if (attempt === this.hedged) {
      this.hedged = undefined;
      this.take('declined');
    } else if (attempt === this.current) {
      this.current = undefined;
      const isFailed = result.kind === 'failed';
      if (this.take(isFailed ? 'failed' : 'answered') === 'settle')
        this.resolve(result);
    }
  }

  private take(
    event: TakeoverEvent,
    isSilent = this.current?.isSilent === true,
  ): TakeoverStep {
    const {hedged, current} = this;
    // A rejected request may be offered to a further endpoint.
    const isHedging = hedged !== undefined || event === 'declined';
    const isOver = this.options.isOver();
    const step = decideTakeover(event, {isHedging, isSilent, isOver});
    if (REPORTED_STEPS.has(step)) this.options.onStep(step);
    switch (step) {
      case 'hedge':
        this.hedge();
        break;
      case 'withdraw':
      case 'settle':
        this.withdraw();
        break;
      case 'hand_over':
        this.promote();
        if (current !== undefined) this.replaced.add(current);
        current?.cancelAsSilent();
        break;
      case 'promote':
        this.promote();
        if (this.current?.isSilent) this.take('silent');
        break;
      case 'cancel':
        current?.cancel();
        hedged?.cancel();
        break;
      default:
    }
    return step;
  }

  private hedge(): void {
    const placed = this.options.planHedge();
    if (placed === undefined) return;
    this.options.onStep('hedge');
    this.hedged = this.start(placed, undefined);
  }

  private promote(): void {
    this.current = this.hedged;
    this.hedged = undefined;
  }

  private withdraw(): void {
    const {hedged} = this;
    if (hedged === undefined) return;
    this.hedged = undefined;
    this.withdrawn.add(hedged);
    this.options.onWithdrawn(hedged);
    hedged.cancel();
  }
}
