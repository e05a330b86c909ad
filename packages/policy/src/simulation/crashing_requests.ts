/**
 * Simulates requests that crash the endpoints of a fleet and are repeated at
 * any instance, without a network.
 */

import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type Fingerprint,
} from '@snipestage/types/ids.js';
import type {ReportedCrash} from '../crash_records.js';
import {createSeededRandom, type RandomSource} from '../random_source.js';
import {SuspectTable} from '../suspects.js';

/** Options of {@link simulateCrashingRequests}. */
export interface CrashingRequestsOptions {
  readonly seed: number;
  readonly instances: number;
  readonly endpoints: number;
  /** Requests that crash endpoints at the same time. */
  readonly requests: number;
  /** Time between two runs of one request. */
  readonly repeatEveryMs: number;
  /** Time from a crash until the instance that saw it has confirmed it. */
  readonly confirmAfterMs: number;
  /** Time from a confirmation until the other instances know of it. */
  readonly publishAfterMs: number;
}

/** Crashes and runs of one request. */
export interface CrashingRequestResult {
  readonly crashes: number;
  /** Runs later than {@link ALLOWED_AFTER_MS} after the third crash. */
  readonly lateRuns: number;
}

/** After the third crash a request may still run for this time. */
const ALLOWED_AFTER_MS = 3000;
const DURATION_MS = 60_000;
const DATA_CENTRES = 3;
const CRASHES_BEFORE_LIMIT = 3;

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/**
 * @example
 * const results = simulateCrashingRequests({seed: 1, instances: 9, ...timing});
 */
export function simulateCrashingRequests(
  options: CrashingRequestsOptions,
): readonly CrashingRequestResult[] {
  return new Simulation(options).run();
}

class Simulation {
  private readonly random: RandomSource;
  private readonly tables: readonly SuspectTable[];
  private readonly events: Event[] = [];
  private readonly crashedAtMs = new Map<Fingerprint, number[]>();
  private readonly lateRuns = new Map<Fingerprint, number>();
  private nowMs = 0;
  private reports = 0;

  constructor(private readonly options: CrashingRequestsOptions) {
    this.random = createSeededRandom(options.seed);
    this.tables = Array.from(
      {length: options.instances},
      () => new SuspectTable(),
    );
  }

  run(): readonly CrashingRequestResult[] {
    const requests = this.createRequests();
    for (const request of requests) this.scheduleRuns(request);
    while (this.events.length > 0) {
      this.events.sort((left, right) => left.atMs - right.atMs);
      const {atMs, run} = this.events.shift()!;
      this.nowMs = atMs;
      run();
    }
    return requests.map(request => ({
      crashes: this.crashedAtMs.get(request)?.length ?? 0,
      lateRuns: this.lateRuns.get(request) ?? 0,
    }));
  }

  private createRequests(): Fingerprint[] {
    return Array.from({length: this.options.requests}, (_, index) =>
      brandAs<Fingerprint>(`poison-${index}`),
    );
  }

  private scheduleRuns(request: Fingerprint): void {
    const {repeatEveryMs} = this.options;
    for (let atMs = 0; atMs < DURATION_MS; atMs += repeatEveryMs) {
      const jitterMs = this.random() * repeatEveryMs;
      this.events.push({
        atMs: atMs + jitterMs,
        run: () => this.send(request),
      });
    }
  }

  /** Each run crashes its endpoint, which is back for the next run. */
  private send(request: Fingerprint): void {
    const table = this.tables[this.pick(this.options.instances)];
    if (table.classify(request, this.nowMs).kind === 'refuse') return;
    const crashes = this.crashedAtMs.get(request) ?? [];
    const limitMs = crashes[CRASHES_BEFORE_LIMIT - 1] + ALLOWED_AFTER_MS;
    if (this.nowMs > limitMs) {
      this.lateRuns.set(request, (this.lateRuns.get(request) ?? 0) + 1);
    }
    this.crashedAtMs.set(request, [...crashes, this.nowMs]);
    this.crash(table, request);
  }

  private crash(table: SuspectTable, request: Fingerprint): void {
    const {endpoints, confirmAfterMs} = this.options;
    const index = this.pick(endpoints);
    const endpoint = brandAs<EndpointId>(`e${index}`);
    const dataCentre = brandAs<DataCentreId>(`dc-${index % DATA_CENTRES}`);
    this.reports += 1;
    const id = `crash-${this.reports}`;
    // An engine is busy with other requests, too, which are then repeated.
    const bystander = brandAs<Fingerprint>(`bystander-${this.pick(20)}`);
    table.noteBroken(
      {
        newId: () => id,
        endpoint,
        endpointIncarnation: this.reports,
        dataCentre,
        inFlight: [request, bystander],
      },
      this.nowMs,
    );
    this.events.push({
      atMs: this.nowMs + confirmAfterMs,
      run: () => this.confirm(table, endpoint),
    });
  }

  private confirm(table: SuspectTable, endpoint: EndpointId): void {
    table.noteDown(endpoint, this.nowMs);
    const changes = table
      .takeChanges(this.nowMs)
      .filter(crash => crash.isConfirmed);
    this.events.push({
      atMs: this.nowMs + this.options.publishAfterMs,
      run: () => this.publish(changes),
    });
  }

  private publish(changes: readonly ReportedCrash[]): void {
    for (const table of this.tables) {
      table.mergePublished(changes, this.nowMs);
    }
  }

  private pick(count: number): number {
    return Math.floor(this.random() * count);
  }
}
