/**
 * Simulates requests of which some hold a part that crashes endpoints, at many
 * instances that send each other what they saw, without a network.
 */

import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type Fingerprint,
  type PromptPartId,
} from '@snipestage/types/ids.js';
import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import type {ReportedCrash} from '../crash_records.js';
import {PartTrials, type TrialCount} from '../part_trials.js';
import {createSeededRandom, type RandomSource} from '../random_source.js';
import {SuspectTable} from '../suspects.js';
import {Timetable} from './timetable.js';

/** Requests of one kind, which come at any instance. */
export interface SimulatedPrompts {
  /** Shared parts of the next request's prompt. */
  readonly draw: (random: RandomSource) => readonly string[];
  readonly perS: number;
  readonly fromMs?: number;
}

/** Options of {@link simulateCrashingParts}; defaults in brackets. */
export interface CrashingPartsOptions {
  readonly seed: number;
  readonly instances: number;
  readonly endpoints: number;
  readonly sound: SimulatedPrompts;
  readonly bad?: SimulatedPrompts;
  /** Parts that crash endpoints (none). */
  readonly crashing?: readonly string[];
  /** From when on they do (0). */
  readonly crashingFromMs?: number;
  /** Endpoints of one data centre crash together at this time (never). */
  readonly lossAtMs?: number;
  /** Whether all other endpoints crash with them (false). */
  readonly losesAll?: boolean;
  /** Time after which a crashed endpoint is back (5 seconds). */
  readonly restartMs?: number;
  /** Share of what instances send each other that comes a second late (0). */
  readonly delayedShare?: number;
  readonly durationMs?: number;
}

/** What became of the requests. */
export interface CrashingPartsResult {
  readonly crashes: number;
  /** Arrivals at endpoints of each crashing part, late after its fifth crash. */
  readonly lateArrivals: readonly number[];
  /**
   * Sound requests that came twice {@link LATE_AFTER_MS} after the fifth crash,
   * or that time after lost endpoints were back.
   */
  readonly soundSent: number;
  /** Those of them that were sent to an endpoint. */
  readonly soundAdmitted: number;
}

/** After the fifth crash a part may still arrive for this time. */
export const LATE_AFTER_MS = 3000;
const CRASHES_BEFORE_LIMIT = 5;
const DEFAULT_DURATION_MS = 60_000;
const DATA_CENTRES = 3;
const CONFIRM_AFTER_MS = 150;
const PUBLISH_AFTER_MS = 200;
const PUBLISH_LATE_AFTER_MS = 1200;
const CLAIM_MS = 10;
const DEFAULT_RESTART_MS = 5000;
const CRASH_AFTER_BEGIN_MS = 40;
const SECOND_EVENT_AFTER_MS = 30;
const STREAM_MS = 1500;
const MIN_WAIT_MS = 50;
const WAIT_RANGE_MS = 300;

/**
 * @example
 * const {lateArrivals} = simulateCrashingParts({seed: 1, instances: 9, ...rest});
 */
export function simulateCrashingParts(
  options: CrashingPartsOptions,
): CrashingPartsResult {
  return new Simulation(options).run();
}

interface Run {
  readonly instance: Instance;
  readonly request: Fingerprint;
  readonly parts: readonly PromptPartId[];
  readonly trial: readonly PromptPartId[];
  hasBegun: boolean;
  isOver: boolean;
}

interface Instance {
  readonly table: SuspectTable;
  readonly trials: PartTrials;
}

interface SimulatedEndpoint {
  readonly id: EndpointId;
  readonly dataCentre: DataCentreId;
  incarnation: number;
  isUp: boolean;
  readonly runs: Set<Run>;
}

class Simulation {
  private readonly random: RandomSource;
  private readonly timetable = new Timetable();
  private readonly instances: readonly Instance[];
  private readonly endpoints: readonly SimulatedEndpoint[];
  private readonly trialRows = new Map<PromptPartId, TrialCount>();
  private readonly crashTimesMs = new Map<string, number[]>();
  private readonly arrivals = new Map<string, number>();
  private ids = 0;
  private crashes = 0;
  private soundSent = 0;
  private soundAdmitted = 0;

  private readonly restartMs: number;

  constructor(private readonly options: CrashingPartsOptions) {
    this.restartMs = options.restartMs ?? DEFAULT_RESTART_MS;
    this.random = createSeededRandom(options.seed);
    this.instances = Array.from({length: options.instances}, () => ({
      table: new SuspectTable(),
      trials: new PartTrials(),
    }));
    this.endpoints = Array.from({length: options.endpoints}, (_, index) => ({
      id: brandAs<EndpointId>(`e${index}`),
      dataCentre: brandAs<DataCentreId>(`dc-${index % DATA_CENTRES}`),
      incarnation: 1,
      isUp: true,
      runs: new Set<Run>(),
    }));
  }

  run(): CrashingPartsResult {
    const {sound, bad, crashing = [], lossAtMs} = this.options;
    this.schedule(sound, 'sound');
    if (bad !== undefined) this.schedule(bad, 'bad');
    if (lossAtMs !== undefined) {
      this.timetable.add(lossAtMs, () => this.loseEndpoints());
    }
    this.timetable.run();
    return {
      crashes: this.crashes,
      lateArrivals: crashing.map(part => this.arrivals.get(part) ?? 0),
      soundSent: this.soundSent,
      soundAdmitted: this.soundAdmitted,
    };
  }

  private schedule(prompts: SimulatedPrompts, kind: 'sound' | 'bad'): void {
    const {durationMs = DEFAULT_DURATION_MS} = this.options;
    const intervalMs = 1000 / prompts.perS;
    const firstAtMs = prompts.fromMs ?? 0;
    for (let atMs = firstAtMs; atMs < durationMs; atMs += intervalMs) {
      const jitterMs = this.random() * intervalMs;
      this.timetable.add(atMs + jitterMs, () =>
        this.arrive(prompts.draw(this.random), kind),
      );
    }
  }

  private arrive(names: readonly string[], kind: 'sound' | 'bad'): void {
    const instance = this.pick(this.instances);
    const parts = names.map(name => brandAs<PromptPartId>(name));
    const isCounted = kind === 'sound' && this.countsSound();
    if (isCounted) this.soundSent += 1;
    const {nowMs} = this.timetable;
    const decision = instance.table.parts.classify(parts, nowMs);
    if (decision.kind === 'clear') {
      this.send(instance, parts, [], isCounted);
    } else if (instance.trials.waitMs(decision.parts, nowMs) === 0) {
      const counts = decision.parts.map(part =>
        instance.trials.readCount(part),
      );
      this.timetable.add(nowMs + CLAIM_MS, () => {
        if (!this.claim(instance, counts)) return;
        this.send(instance, parts, decision.parts, isCounted);
      });
    }
  }

  /** Whether sound requests that come now have to be served. */
  private countsSound(): boolean {
    const {lossAtMs, crashing = []} = this.options;
    const fifths = crashing.map(
      part => this.crashTimesMs.get(part)?.[CRASHES_BEFORE_LIMIT - 1],
    );
    const sinceMs =
      lossAtMs === undefined
        ? Math.max(...fifths.map(atMs => atMs ?? Infinity)) + LATE_AFTER_MS
        : lossAtMs + this.restartMs;
    return this.timetable.nowMs > sinceMs + LATE_AFTER_MS;
  }

  private claim(instance: Instance, counts: readonly TrialCount[]): boolean {
    const isCurrent = counts.every(
      ({part, rowVersion}) =>
        (this.trialRows.get(part)?.rowVersion ?? ABSENT) === rowVersion,
    );
    if (!isCurrent) return false;
    for (const {part, count} of counts) {
      this.writeTrial(instance, part, count + 1);
    }
    return true;
  }

  private writeTrial(
    instance: Instance,
    part: PromptPartId,
    count: number,
  ): void {
    this.ids += 1;
    const rowVersion = brandAs<StoreVersion>(this.ids);
    const row = {part, count, rowVersion};
    this.trialRows.set(part, row);
    instance.trials.learn(row, this.timetable.nowMs);
    this.sendToAll(each => each.trials.learn(row, this.timetable.nowMs));
  }

  private send(
    instance: Instance,
    parts: readonly PromptPartId[],
    trial: readonly PromptPartId[],
    isCounted: boolean,
  ): void {
    const up = this.endpoints.filter(({isUp}) => isUp);
    if (up.length === 0) {
      for (const part of trial) {
        const {count} = instance.trials.readCount(part);
        this.writeTrial(instance, part, count - 1);
      }
      return;
    }
    if (isCounted) this.soundAdmitted += 1;
    this.countLate(parts);
    const endpoint = this.pick(up);
    this.ids += 1;
    const run: Run = {
      instance,
      request: brandAs<Fingerprint>(`request-${this.ids}`),
      parts,
      trial,
      hasBegun: false,
      isOver: false,
    };
    endpoint.runs.add(run);
    const waitMs = MIN_WAIT_MS + this.random() * WAIT_RANGE_MS;
    this.after(waitMs, () => this.begin(endpoint, run));
  }

  private countLate(parts: readonly PromptPartId[]): void {
    for (const part of parts) {
      const fifthMs = this.crashTimesMs.get(part)?.[CRASHES_BEFORE_LIMIT - 1];
      if (fifthMs === undefined) continue;
      if (this.timetable.nowMs <= fifthMs + LATE_AFTER_MS) continue;
      this.arrivals.set(part, (this.arrivals.get(part) ?? 0) + 1);
    }
  }

  private begin(endpoint: SimulatedEndpoint, run: Run): void {
    if (run.isOver) return;
    const {crashing = [], crashingFromMs = 0} = this.options;
    const cause =
      this.timetable.nowMs >= crashingFromMs
        ? run.parts.filter(part => crashing.includes(part))
        : [];
    if (cause.length > 0) {
      this.after(CRASH_AFTER_BEGIN_MS, () => {
        if (run.isOver) return;
        for (const part of cause) this.noteCrash(part);
        this.crash(endpoint);
      });
      return;
    }
    this.after(SECOND_EVENT_AFTER_MS, () => this.noteBegun(run));
    this.after(STREAM_MS, () => {
      run.isOver = true;
      endpoint.runs.delete(run);
    });
  }

  private noteBegun(run: Run): void {
    if (run.isOver) return;
    run.hasBegun = true;
    const {table, trials} = run.instance;
    if (table.parts.noteBegun(run.parts, this.timetable.nowMs)) {
      this.publish(run.instance);
    }
    for (const part of run.trial) {
      if (trials.readCount(part).count > 0)
        this.writeTrial(run.instance, part, 0);
    }
  }

  private noteCrash(part: PromptPartId): void {
    const known = this.crashTimesMs.get(part) ?? [];
    known.push(this.timetable.nowMs);
    this.crashTimesMs.set(part, known);
  }

  private loseEndpoints(): void {
    const {losesAll = false} = this.options;
    const [{dataCentre}] = this.endpoints;
    for (const endpoint of this.endpoints) {
      if (losesAll || endpoint.dataCentre === dataCentre) this.crash(endpoint);
    }
  }

  private crash(endpoint: SimulatedEndpoint): void {
    if (!endpoint.isUp) return;
    this.crashes += 1;
    endpoint.isUp = false;
    const seenBy = new Set<Instance>();
    for (const run of endpoint.runs) {
      run.isOver = true;
      seenBy.add(run.instance);
      this.noteBroken(endpoint, run);
    }
    endpoint.runs.clear();
    const {id} = endpoint;
    for (const instance of seenBy) {
      this.after(CONFIRM_AFTER_MS, () => {
        instance.table.noteDown(id, this.timetable.nowMs);
        this.publish(instance);
      });
    }
    this.after(this.restartMs, () => {
      endpoint.incarnation += 1;
      endpoint.isUp = true;
    });
  }

  private noteBroken(endpoint: SimulatedEndpoint, run: Run): void {
    run.instance.table.noteBroken(
      {
        newId: () => `crash-${(this.ids += 1)}`,
        endpoint: endpoint.id,
        endpointIncarnation: endpoint.incarnation,
        dataCentre: endpoint.dataCentre,
        inFlight: [run.request],
        parts: run.hasBegun ? [] : run.parts,
      },
      this.timetable.nowMs,
    );
  }

  private publish(instance: Instance): void {
    const changes: readonly ReportedCrash[] = instance.table
      .takeChanges(this.timetable.nowMs)
      .filter(({isConfirmed}) => isConfirmed);
    if (changes.length === 0) return;
    this.sendToAll(each =>
      each.table.mergePublished(changes, this.timetable.nowMs),
    );
  }

  /** Reaches all instances, some of them late. */
  private sendToAll(deliver: (instance: Instance) => void): void {
    const {delayedShare = 0} = this.options;
    const late = this.instances.filter(() => this.random() < delayedShare);
    this.after(PUBLISH_AFTER_MS, () => {
      for (const each of this.instances) {
        if (!late.includes(each)) deliver(each);
      }
    });
    this.after(PUBLISH_LATE_AFTER_MS, () => late.forEach(deliver));
  }

  private after(delayMs: number, run: () => void): void {
    this.timetable.add(this.timetable.nowMs + delayMs, run);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.random() * items.length)];
  }
}
