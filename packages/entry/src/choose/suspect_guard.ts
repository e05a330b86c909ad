/** Prevents requests that crash endpoints from crashing one after the other. */

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
  /** Sends new or changed crashes to the other instances. */
  readonly publish: (crashes: readonly ReportedCrash[]) => void;
}

/**
 * A request that crashes its endpoint is repeated by its caller, and by the
 * router itself at the next endpoint, until no endpoint is left. Therefore each
 * request that was in flight at a crash runs alone from then on, which shows
 * whether it was the cause, and is refused after a second crash. The others are
 * cleared when they finish.
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
    const suspect = await this.waitForTrial(request, signal);
    let permit: Permit;
    try {
      permit = await permits.acquire({...request, suspect}, signal);
    } catch (error) {
      if (suspect) this.trials.end(fingerprint);
      throw error;
    }
    const endpoint = permit.endpoint.id;
    this.addInFlight(endpoint, fingerprint);
    return {
      endpoint: permit.endpoint,
      mayStillSend: permit.mayStillSend,
      progress: tokens => permit.progress(tokens),
      release: report => {
        this.recordOutcome(permit, {fingerprint, alone: suspect}, report);
        if (suspect) this.trials.end(fingerprint);
        this.removeInFlight(endpoint, fingerprint);
        permit.release(report);
      },
    };
  }

  /**
   * Waits while a copy of the request runs alone. Returns true if the request
   * itself must run alone; its trial has then begun.
   */
  private async waitForTrial(
    {fingerprint, remainingMs}: PermitRequest,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock} = this.options;
    const deadlineMs = clock() + remainingMs;
    for (;;) {
      const decision = this.table.classify(fingerprint, clock());
      if (decision.kind === 'refuse') {
        throw suspectedCrash(decision.retryAfterMs);
      }
      if (decision.kind === 'clear') return false;
      if (!this.trials.isRunning(fingerprint)) break;
      if (clock() > deadlineMs) throw suspectedCrash(TRIAL_RETRY_AFTER_MS);
      await this.trials.waitForNextCheck(signal);
      // The wrapped permits refuse aborted requests.
      if (signal.aborted) return false;
    }
    this.trials.begin(fingerprint);
    return true;
  }

  /** Merges crashes reported by another instance. */
  mergeCrashes(crashes: readonly ReportedCrash[]): void {
    const nowMs = this.options.clock();
    this.table.merge(crashes, nowMs);
    // Not published again: only crashes observed here are published from here.
    this.table.takeChanges(nowMs);
  }

  /** Returns all known crashes, for an instance that has just started. */
  readAll(): ReportedCrash[] {
    return this.table.readAll(this.options.clock());
  }

  snapshot(): object {
    return {crashes: this.readAll()};
  }

  private recordOutcome(
    permit: Permit,
    ran: {readonly fingerprint: Fingerprint; readonly alone: boolean},
    report: AttemptReport,
  ): void {
    if (report.outcome === 'ok') this.table.markFinished(ran.fingerprint);
    if (report.connectionBroke === true) this.reportCrash(permit, ran.alone);
    const nowMs = this.options.clock();
    const changes = this.table.takeChanges(nowMs);
    if (changes.length > 0) this.options.publish(changes);
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

  private addInFlight(endpoint: EndpointId, fingerprint: Fingerprint): void {
    const inFlight = this.inFlight.get(endpoint) ?? [];
    this.inFlight.set(endpoint, [...inFlight, fingerprint]);
  }

  private removeInFlight(endpoint: EndpointId, fingerprint: Fingerprint): void {
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
