/** Facts that instances publish in a table that all of them follow. */

import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {ReportedCrash} from '@snipestage/policy/crash_records.js';
import {
  haveSharesChanged,
  sumDemands,
} from '@snipestage/routing/agreed_demand.js';
import type {RouteDemand} from '@snipestage/routing/demand_meter.js';
import {
  brandAs,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import type {TrialCount} from '@snipestage/policy/part_trials.js';
import {parseJson} from './parse_json.js';
import {readCrash, readDemands, readInstanceCount} from './row_schemas.js';
import {decodeVersions, readVersionsKey} from './streams/stream_rows.js';
import type {FollowedRow} from './table_follower.js';
import {decodeTrialRow} from './trial_rows.js';
import type {CountsValue} from './usage_rows.js';

/** A fact that an instance published. */
export type SharedFact =
  | {readonly kind: 'crash'; readonly crash: ReportedCrash}
  | {readonly kind: 'trial'; readonly trial: TrialCount}
  | {
      readonly kind: 'demand';
      readonly service: ServiceId;
      readonly demands: readonly RouteDemand[];
    }
  | {
      readonly kind: 'instances';
      /** Instances that wrote their counts of a window, or an estimate. */
      readonly count: number;
    }
  | {
      readonly kind: 'versions';
      readonly service: ServiceId;
      /** Software versions at which streams may begin. */
      readonly versions: readonly SoftwareVersion[];
      readonly rowVersion: StoreVersion;
    };

const CRASH = 'crash/';
const DEMAND = 'demand/';
const INSTANCES = 'instances';

/** Relative change above which the number of instances is published again. */
const INSTANCE_COUNT_CHANGE_SHARE = 0.25;

/** Options of {@link SharedFacts}. */
export interface SharedFactsOptions {
  readonly platform: Platform;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** A crash to be published; its age grows until then. */
interface PendingCrash {
  readonly crash: ReportedCrash;
  readonly reportedAtMs: number;
}

const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 2000;
/** Written crashes that are remembered; the oldest ones matter least. */
const MAX_REMEMBERED_CRASHES = 100;
/** Rows of one transaction; the platform allows no more than 100. */
const MAX_ROWS = 50;

interface FactRow {
  readonly key: string;
  readonly value: unknown;
}

interface TotalRow extends FactRow {
  readonly kind: 'demand' | 'instances';
  /** Called once the store has accepted the row. */
  readonly notePublished: () => void;
}

/**
 * Publishes facts. Crashes are written again until the store has accepted them;
 * totals whose write fails follow with the next window.
 */
export class SharedFacts {
  private readonly publishedDemands = new Map<
    ServiceId,
    readonly RouteDemand[]
  >();
  private publishedCount: number | undefined;
  /** Number of times that the store was set back. */
  private setBacks = 0;
  private readonly pending = new Map<string, PendingCrash>();
  /** The latest crashes that were written, to be written again if lost. */
  private readonly written = new Map<string, PendingCrash>();
  private failures = 0;
  private isWriting = false;
  private isStopped = false;

  constructor(private readonly options: SharedFactsOptions) {}

  /** Publishes crashes; a later report of a crash replaces an earlier one. */
  publishCrashes(crashes: readonly ReportedCrash[]): void {
    const reportedAtMs = this.options.nowMs();
    for (const crash of crashes) {
      this.pending.set(crash.id, {crash, reportedAtMs});
    }
    void this.writePending();
  }

  /**
   * Publishes again what the store may have lost; totals follow with the next
   * window.
   */
  republish(): void {
    this.setBacks += 1;
    this.publishedDemands.clear();
    this.publishedCount = undefined;
    for (const [id, crash] of this.written) {
      if (!this.pending.has(id)) this.pending.set(id, crash);
    }
    void this.writePending();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Publishes an estimated number of instances unless a count exists. */
  async publishEstimate(count: number): Promise<void> {
    const key = `shared/${INSTANCES}`;
    const result = await this.options.platform.transact({
      checks: [{key, version: ABSENT}],
      writes: [{key, value: {count}}],
    });
    this.options.logger.info('instances_estimated', {
      count,
      outcome: result.kind,
    });
  }

  /**
   * Adds up the rows of all instances and publishes totals that have changed.
   */
  async publishTotals(rows: readonly CountsValue[]): Promise<void> {
    const changed = [...this.changedDemands(rows), ...this.changedCount(rows)];
    if (changed.length === 0) return;
    const {setBacks} = this;
    const writes = changed.map(({key, value}) => ({key, value}));
    const isCommitted = await this.write(changed[0].kind, writes);
    // A store that was set back during the write may have lost it.
    if (!isCommitted || setBacks !== this.setBacks) return;
    for (const row of changed) row.notePublished();
  }

  private changedCount({length: count}: readonly CountsValue[]): TotalRow[] {
    const before = this.publishedCount;
    const isKnown =
      before !== undefined &&
      Math.abs(count - before) <= INSTANCE_COUNT_CHANGE_SHARE * before;
    if (isKnown || count === 0) return [];
    return [
      {
        kind: 'instances',
        key: `shared/${INSTANCES}`,
        value: {count},
        notePublished: () => (this.publishedCount = count),
      },
    ];
  }

  private changedDemands(rows: readonly CountsValue[]): TotalRow[] {
    const services = new Set(
      rows.flatMap(({demands}) => Object.keys(demands ?? {})),
    );
    return [...services].flatMap(name => {
      const service = brandAs<ServiceId>(name);
      const total = sumDemands(rows.map(({demands}) => demands?.[name] ?? []));
      if (!haveSharesChanged(this.publishedDemands.get(service), total))
        return [];
      return [
        {
          kind: 'demand',
          key: `shared/${DEMAND}${name}`,
          value: {demands: total},
          notePublished: () => this.publishedDemands.set(service, total),
        },
      ];
    });
  }

  private async writePending(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    try {
      while (this.pending.size > 0 && !this.isStopped) await this.writeBatch();
    } finally {
      this.isWriting = false;
    }
  }

  private async writeBatch(): Promise<void> {
    const batch = [...this.pending.values()].slice(0, MAX_ROWS);
    const isCommitted = await this.write(
      'crash',
      batch.map(pending => this.crashRow(pending)),
    );
    if (isCommitted) this.forgetWritten(batch);
    this.failures = isCommitted ? 0 : this.failures + 1;
    if (!isCommitted) await this.waitForRetry();
  }

  private crashRow({crash, reportedAtMs}: PendingCrash): FactRow {
    const ageMs = crash.ageMs + this.options.nowMs() - reportedAtMs;
    return {key: `shared/${CRASH}${crash.id}`, value: {...crash, ageMs}};
  }

  /** Keeps crashes that were reported again during the write. */
  private forgetWritten(batch: readonly PendingCrash[]): void {
    for (const pending of batch) {
      const {id} = pending.crash;
      if (this.pending.get(id) === pending) this.pending.delete(id);
      this.written.delete(id);
      this.written.set(id, pending);
    }
    for (const id of this.written.keys()) {
      if (this.written.size <= MAX_REMEMBERED_CRASHES) break;
      this.written.delete(id);
    }
  }

  private waitForRetry(): Promise<void> {
    const delayMs = FIRST_RETRY_MS * 2 ** (this.failures - 1);
    return new Promise(resolve => {
      setTimeout(resolve, Math.min(MAX_RETRY_MS, delayMs)).unref();
    });
  }

  private async write(
    kind: SharedFact['kind'],
    writes: readonly FactRow[],
  ): Promise<boolean> {
    const result = await this.options.platform.transact({checks: [], writes});
    this.options.logger.info('fact_told', {
      kind,
      rows: writes.length,
      outcome: result.kind,
    });
    return result.kind === 'committed';
  }
}

/**
 * @returns undefined when the row was removed, is malformed or holds no fact.
 * @example
 * const fact = decodeFact(row);
 */
export function decodeFact(row: FollowedRow): SharedFact | undefined {
  const value = parseJson(row.data);
  if (row.key.startsWith(CRASH)) {
    const crash = readCrash(value);
    return crash && {kind: 'crash', crash};
  }
  if (row.key === INSTANCES) {
    const count = readInstanceCount(value);
    return count === undefined ? undefined : {kind: 'instances', count};
  }
  const trial = decodeTrialRow(row.key, value, row.version);
  if (trial !== undefined) return {kind: 'trial', trial};
  const versionsOf = readVersionsKey(row.key);
  if (versionsOf !== undefined) {
    const versions = decodeVersions(value);
    return versions === undefined
      ? undefined
      : {
          kind: 'versions',
          service: versionsOf,
          versions,
          rowVersion: row.version,
        };
  }
  if (!row.key.startsWith(DEMAND)) return undefined;
  const demands = readDemands(value);
  const service = brandAs<ServiceId>(row.key.slice(DEMAND.length));
  return demands && {kind: 'demand', service, demands};
}
