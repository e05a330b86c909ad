/**
 * Tracks which suspected requests currently run alone, and at which instance.
 */

import type {Fingerprint, InstanceId} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';

/** Announces to other instances that a trial has begun or ended. */
export interface TrialUpdate {
  readonly fingerprint: Fingerprint;
  readonly running: boolean;
}

/**
 * A trial counts as ended after this time, because an instance that died during
 * a trial can't announce its end.
 */
const MAX_TRIAL_MS = 60_000;
const TRIAL_POLL_MS = 200;

interface Trial {
  readonly by: InstanceId;
  readonly untilMs: number;
}

/** Options of {@link SuspectTrials}. */
export interface SuspectTrialsOptions {
  readonly self: InstanceId;
  readonly clock: MonotonicClock;
  readonly publish: (update: TrialUpdate) => void;
}

/**
 * A caller that gets no answer repeats its request, also to other instances. If
 * all copies ran alone at the same time, each would crash another endpoint
 * before the first had a result. Therefore one runs and the others wait for its
 * outcome.
 */
export class SuspectTrials {
  private readonly trials = new Map<Fingerprint, Trial>();

  constructor(private readonly options: SuspectTrialsOptions) {}

  isRunning(fingerprint: Fingerprint): boolean {
    const trial = this.trials.get(fingerprint);
    if (trial === undefined) return false;
    if (this.options.clock() < trial.untilMs) return true;
    this.trials.delete(fingerprint);
    return false;
  }

  begin(fingerprint: Fingerprint): void {
    this.set(fingerprint, this.options.self);
    this.options.publish({fingerprint, running: true});
  }

  end(fingerprint: Fingerprint): void {
    this.trials.delete(fingerprint);
    this.options.publish({fingerprint, running: false});
  }

  /** Applies an update from another instance. */
  mergeUpdate(update: TrialUpdate, from: InstanceId): void {
    const {fingerprint, running} = update;
    if (running) {
      if (!this.isRunning(fingerprint)) this.set(fingerprint, from);
    } else if (this.trials.get(fingerprint)?.by === from) {
      this.trials.delete(fingerprint);
    }
  }

  /** Waits for {@link TRIAL_POLL_MS}, or until the signal aborts. */
  async waitForNextCheck(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    await new Promise<void>(resolve => {
      const timer = setTimeout(finish, TRIAL_POLL_MS);
      function finish(): void {
        clearTimeout(timer);
        signal.removeEventListener('abort', finish);
        resolve();
      }
      signal.addEventListener('abort', finish);
    });
  }

  private set(fingerprint: Fingerprint, by: InstanceId): void {
    const untilMs = this.options.clock() + MAX_TRIAL_MS;
    this.trials.set(fingerprint, {by, untilMs});
  }
}
