/** Keeps requests that crash endpoints from doing so again and again. */

import {RequestError} from '@snipestage/errors/request_error.js';
import {SuspectTable, type ReportedCrash} from '@snipestage/policy/suspects.js';
import type {
  EndpointId,
  Fingerprint,
  Incarnation,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import {
  Permits,
  type AttemptReport,
  type Permit,
  type PermitRequest,
} from './permits.js';
import type {SuspectTrials} from './suspect_trials.js';

const TRIAL_RETRY_AFTER_MS = 5000;

/** Options of {@link SuspectGuard}. */
export interface SuspectGuardOptions {
  readonly permits: Permits;
  readonly self: InstanceId;
  readonly incarnation: () => Incarnation;
  readonly clock: MonotonicClock;
  readonly trials: SuspectTrials;
  /** Told of what other instances should know. */
  readonly spread: (crashes: readonly ReportedCrash[]) => void;
}

/**
 * A request that crashes its endpoint is sent again by its caller, and by the
 * router itself to the next endpoint, until none is left. So whatever was in
 * flight at a crash runs alone from then on, which shows who it was, and is
 * refused after a second crash. Others are cleared by finishing.
 */
export class SuspectGuard extends Permits {
  private readonly table = new SuspectTable();
  private readonly inFlight = new Map<EndpointId, Fingerprint[]>();
  private readonly trials: SuspectTrials;
  private crashes = 0;

  constructor(private readonly options: SuspectGuardOptions) {
    super();
    this.trials = options.trials;
  }

  async acquire(request: PermitRequest, signal: AbortSignal): Promise<Permit> {
    const {permits} = this.options;
    const {fingerprint} = request;
    const suspect = await this.waitForTurn(request, signal);
    let permit: Permit;
    try {
      permit = await permits.acquire({...request, suspect}, signal);
    } catch (error) {
      if (suspect) this.trials.end(fingerprint);
      throw error;
    }
    const endpoint = permit.endpoint.id;
    this.enter(endpoint, fingerprint);
    return {
      endpoint: permit.endpoint,
      progress: tokens => permit.progress(tokens),
      release: report => {
        this.settle(permit, {fingerprint, alone: suspect}, report);
        if (suspect) this.trials.end(fingerprint);
        this.leave(endpoint, fingerprint);
        permit.release(report);
      },
    };
  }

  /** True when the request must run alone; its trial has begun then. */
  private async waitForTurn(
    {fingerprint, remainingMs}: PermitRequest,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock} = this.options;
    const deadlineMs = clock() + remainingMs;
    for (;;) {
      const judgement = this.table.classify(fingerprint, clock());
      if (judgement.kind === 'refuse') {
        throw suspectedCrash(judgement.retryAfterMs);
      }
      if (judgement.kind === 'clear') return false;
      if (!this.trials.isRunning(fingerprint)) break;
      if (clock() > deadlineMs) throw suspectedCrash(TRIAL_RETRY_AFTER_MS);
      await this.trials.lookAgainLater(signal);
      // The permits below refuse what has been aborted.
      if (signal.aborted) return false;
    }
    this.trials.begin(fingerprint);
    return true;
  }

  /** Takes in what another instance tells. */
  take(crashes: readonly ReportedCrash[]): void {
    const nowMs = this.options.clock();
    this.table.merge(crashes, nowMs);
    // It is on its way to all; only what is seen here is to be told from here.
    this.table.takeChanges(nowMs);
  }

  /** All that is known, for an instance that has just started. */
  readAll(): ReportedCrash[] {
    return this.table.readAll(this.options.clock());
  }

  snapshot(): object {
    return {crashes: this.readAll()};
  }

  private settle(
    permit: Permit,
    ran: {readonly fingerprint: Fingerprint; readonly alone: boolean},
    report: AttemptReport,
  ): void {
    if (report.outcome === 'ok') this.table.markFinished(ran.fingerprint);
    if (report.brokeOff === true) this.reportCrash(permit, ran.alone);
    const nowMs = this.options.clock();
    const changes = this.table.takeChanges(nowMs);
    if (changes.length > 0) this.options.spread(changes);
  }

  private reportCrash({endpoint}: Permit, alone: boolean): void {
    const {self, incarnation, clock} = this.options;
    this.crashes += 1;
    const crash: ReportedCrash = {
      id: `${self}/${incarnation()}/${this.crashes}`,
      endpoint: endpoint.id,
      dataCentre: endpoint.dataCentre,
      ageMs: 0,
      inFlight: [...new Set(this.inFlight.get(endpoint.id))],
      alone,
      cleared: [],
    };
    this.table.merge([crash], clock());
  }

  private enter(endpoint: EndpointId, fingerprint: Fingerprint): void {
    const inFlight = this.inFlight.get(endpoint) ?? [];
    this.inFlight.set(endpoint, [...inFlight, fingerprint]);
  }

  private leave(endpoint: EndpointId, fingerprint: Fingerprint): void {
    const inFlight = [...(this.inFlight.get(endpoint) ?? [])];
    inFlight.splice(inFlight.indexOf(fingerprint), 1);
    if (inFlight.length > 0) this.inFlight.set(endpoint, inFlight);
    else this.inFlight.delete(endpoint);
  }
}

function suspectedCrash(retryAfterMs: number): RequestError {
  return new RequestError(
    'Endpoints have crashed under this request; it is not run for a while.',
    {code: 'suspected_crash', verdict: 'not_run', retryAfterMs},
  );
}
