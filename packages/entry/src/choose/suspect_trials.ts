/** Which suspected requests are being run alone just now, and by whom. */

import type {Fingerprint, InstanceId} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';

/** A trial that has begun or ended, as instances tell each other. */
export interface TrialNews {
  readonly fingerprint: Fingerprint;
  readonly running: boolean;
}

/** An instance that died in a trial can't tell its end. */
const LONGEST_TRIAL_MS = 60_000;
const LOOK_AGAIN_MS = 200;

interface Trial {
  readonly by: InstanceId;
  readonly untilMs: number;
}

/** Options of {@link SuspectTrials}. */
export interface SuspectTrialsOptions {
  readonly self: InstanceId;
  readonly clock: MonotonicClock;
  readonly spread: (news: TrialNews) => void;
}

/**
 * A caller that gets no answer sends its request again, also to other
 * instances. Were all these copies run alone at once, each would crash an
 * endpoint of its own before the first had shown anything. So one runs, and the
 * others wait for what comes of it.
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
    this.options.spread({fingerprint, running: true});
  }

  end(fingerprint: Fingerprint): void {
    this.trials.delete(fingerprint);
    this.options.spread({fingerprint, running: false});
  }

  /** Takes in what another instance tells. */
  take(news: TrialNews, from: InstanceId): void {
    const {fingerprint, running} = news;
    if (running) {
      if (!this.isRunning(fingerprint)) this.set(fingerprint, from);
    } else if (this.trials.get(fingerprint)?.by === from) {
      this.trials.delete(fingerprint);
    }
  }

  /** Waits a moment, or until the signal aborts. */
  async lookAgainLater(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    await new Promise<void>(resolve => {
      const timer = setTimeout(finish, LOOK_AGAIN_MS);
      function finish(): void {
        clearTimeout(timer);
        signal.removeEventListener('abort', finish);
        resolve();
      }
      signal.addEventListener('abort', finish);
    });
  }

  private set(fingerprint: Fingerprint, by: InstanceId): void {
    const untilMs = this.options.clock() + LONGEST_TRIAL_MS;
    this.trials.set(fingerprint, {by, untilMs});
  }
}
