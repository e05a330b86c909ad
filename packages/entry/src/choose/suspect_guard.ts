/** Prevents requests that crash endpoints from crashing one after the other. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {ReportedCrash} from '@snipestage/policy/crash_records.js';
import {SuspectTable} from '@snipestage/policy/suspects.js';
import type {Endpoint} from '@snipestage/types/configuration.js';
import type {
  EndpointId,
  Fingerprint,
  Incarnation,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import {CrashCheck} from './crash_check.js';
import {
  Permits,
  type AttemptReport,
  type Permit,
  type PermitRequest,
} from './permits.js';
import type {SuspectTrials} from './suspect_trials.js';

const TRIAL_RETRY_AFTER_MS = 5000;

/** A request that held a permit. */
interface Ran {
  readonly fingerprint: Fingerprint;
  readonly alone: boolean;
  readonly sentAtMs: number;
}

/** Options of {@link SuspectGuard}. */
export interface SuspectGuardOptions {
  readonly permits: Permits;
  readonly self: InstanceId;
  readonly incarnation: () => Incarnation;
  readonly clock: MonotonicClock;
  readonly trials: SuspectTrials;
  /** Whether an endpoint accepts connections. */
  readonly isReachable: (endpoint: Endpoint) => Promise<boolean>;
  readonly onError: (endpoint: EndpointId, error: unknown) => void;
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
  /** Endpoints whose connections broke. */
  private readonly watched = new Map<EndpointId, Endpoint>();
  private readonly check: CrashCheck;
  private crashes = 0;

  constructor(private readonly options: SuspectGuardOptions) {
    super();
    this.trials = options.trials;
    this.check = new CrashCheck({
      look: async (id, mayConnect) => {
        const endpoint = this.watched.get(id);
        if (!mayConnect || endpoint === undefined) return 'open';
        return (await options.isReachable(endpoint)) ? 'open' : 'down';
      },
      isOpen: id => this.mayHaveCrashed(id),
      onDown: id => this.noteDown(id),
      onError: options.onError,
    });
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
    const sentAtMs = this.options.clock();
    this.addInFlight(endpoint, fingerprint);
    return {
      endpoint: permit.endpoint,
      mayStillSend: permit.mayStillSend,
      progress: tokens => permit.progress(tokens),
      release: report => {
        const ran = {fingerprint, alone: suspect, sentAtMs};
        void this.recordOutcome(permit, ran, report).then(() => {
          if (suspect) this.trials.end(fingerprint);
        });
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
    this.table.mergePublished(crashes, nowMs);
    this.publishChanges();
  }

  /** Returns all known crashes, for an instance that has just started. */
  readAll(): ReportedCrash[] {
    return this.table.readAll(this.options.clock());
  }

  /** Number of suspected requests that run alone, and of those refused. */
  countByState(): ReadonlyMap<'run_alone' | 'refuse', number> {
    const counts = new Map<'run_alone' | 'refuse', number>([
      ['run_alone', 0],
      ['refuse', 0],
    ]);
    const known = this.readAll().flatMap(({inFlight}) => inFlight);
    for (const fingerprint of new Set(known)) {
      const {kind} = this.table.classify(fingerprint, this.options.clock());
      if (kind !== 'clear') counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return counts;
  }

  snapshot(): object {
    return {crashes: this.readAll()};
  }

  /** Resolves when it is known whether a request that ran alone crashed it. */
  private async recordOutcome(
    {endpoint}: Permit,
    ran: Ran,
    {outcome, connectionBroke = false}: AttemptReport,
  ): Promise<void> {
    const nowMs = this.options.clock();
    if (outcome === 'ok') {
      this.table.noteAnswered(endpoint.id, ran.sentAtMs);
      this.table.markFinished(ran.fingerprint, nowMs);
    }
    if (connectionBroke) this.noteBroken(endpoint, ran.alone);
    else if (outcome === 'crashed') this.noteDown(endpoint.id);
    this.publishChanges();
    if (connectionBroke) await this.check.start(endpoint.id);
  }

  private noteBroken(endpoint: Endpoint, alone: boolean): void {
    const {self, incarnation, clock} = this.options;
    this.watched.set(endpoint.id, endpoint);
    this.table.noteBroken(
      {
        newId: () => `${self}/${incarnation()}/${(this.crashes += 1)}`,
        endpoint: endpoint.id,
        dataCentre: endpoint.dataCentre,
        inFlight: [...new Set(this.inFlight.get(endpoint.id))],
        alone,
      },
      clock(),
    );
  }

  private noteDown(id: EndpointId): void {
    this.watched.delete(id);
    this.table.noteDown(id, this.options.clock());
    this.publishChanges();
  }

  private mayHaveCrashed(id: EndpointId): boolean {
    const isOpen = this.table.mayHaveCrashed(id, this.options.clock());
    if (!isOpen) this.watched.delete(id);
    return isOpen;
  }

  private publishChanges(): void {
    const changes = this.table.takeChanges(this.options.clock());
    if (changes.length > 0) this.options.publish(changes);
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
