/** Facts that instances publish in a table that all of them follow. */

import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {ReportedCrash} from '@snipestage/policy/crash_records.js';
import {
  haveSharesChanged,
  sumDemands,
} from '@snipestage/routing/agreed_demand.js';
import type {RouteDemand} from '@snipestage/routing/demand_meter.js';
import {brandAs, type ServiceId} from '@snipestage/types/ids.js';
import {parseJson} from './parse_json.js';
import type {FollowedRow} from './table_follower.js';
import type {CountsValue} from './usage_rows.js';

/** A fact that an instance published. */
export type SharedFact =
  | {readonly kind: 'crash'; readonly crash: ReportedCrash}
  | {
      readonly kind: 'demand';
      readonly service: ServiceId;
      readonly demands: readonly RouteDemand[];
    }
  | {
      readonly kind: 'instances';
      /** Instances that wrote their counts of a window, or an estimate. */
      readonly count: number;
    };

const CRASH = 'crash/';
const DEMAND = 'demand/';
const INSTANCES = 'instances';

/** Value of a demand row. */
interface DemandValue {
  readonly demands: readonly RouteDemand[];
}

/** Value of the row with the number of instances. */
interface InstancesValue {
  readonly count: number;
}

/** Relative change above which the number of instances is published again. */
const INSTANCE_COUNT_CHANGE_SHARE = 0.25;

/** Options of {@link SharedFacts}. */
export interface SharedFactsOptions {
  readonly platform: Platform;
  readonly logger: Logger;
}

interface FactRow {
  readonly key: string;
  readonly value: unknown;
}

/** Publishes facts; a write that fails is logged and not repeated. */
export class SharedFacts {
  private readonly publishedDemands = new Map<
    ServiceId,
    readonly RouteDemand[]
  >();
  private publishedCount: number | undefined;

  constructor(private readonly options: SharedFactsOptions) {}

  async publishCrashes(crashes: readonly ReportedCrash[]): Promise<void> {
    const rows = crashes.map(crash => ({
      key: `shared/${CRASH}${crash.id}`,
      value: crash,
    }));
    await this.write('crash', rows);
  }

  /** Publishes an estimated number of instances unless a count exists. */
  async publishEstimate(count: number): Promise<void> {
    const key = `shared/${INSTANCES}`;
    const result = await this.options.platform.transact({
      checks: [{key, version: 0}],
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
    const changed = [...this.changedCount(rows), ...this.changedDemands(rows)];
    if (changed.length > 0) await this.write('demand', changed);
  }

  private changedCount({length: count}: readonly CountsValue[]): FactRow[] {
    const before = this.publishedCount;
    const isKnown =
      before !== undefined &&
      Math.abs(count - before) <= INSTANCE_COUNT_CHANGE_SHARE * before;
    if (isKnown || count === 0) return [];
    this.publishedCount = count;
    return [{key: `shared/${INSTANCES}`, value: {count}}];
  }

  private changedDemands(rows: readonly CountsValue[]): FactRow[] {
    const services = new Set(
      rows.flatMap(({demands}) => Object.keys(demands ?? {})),
    );
    return [...services].flatMap(name => {
      const service = brandAs<ServiceId>(name);
      const total = sumDemands(rows.map(({demands}) => demands?.[name] ?? []));
      if (!haveSharesChanged(this.publishedDemands.get(service), total))
        return [];
      this.publishedDemands.set(service, total);
      return [{key: `shared/${DEMAND}${name}`, value: {demands: total}}];
    });
  }

  private async write(
    kind: SharedFact['kind'],
    writes: readonly FactRow[],
  ): Promise<void> {
    const result = await this.options.platform.transact({checks: [], writes});
    this.options.logger.info('fact_told', {
      kind,
      rows: writes.length,
      outcome: result.kind,
    });
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
    const crash = value as ReportedCrash | undefined;
    const isValid =
      typeof crash?.id === 'string' && Array.isArray(crash.inFlight);
    return isValid ? {kind: 'crash', crash} : undefined;
  }
  if (row.key === INSTANCES) {
    const count = (value as InstancesValue | undefined)?.count;
    return typeof count === 'number' ? {kind: 'instances', count} : undefined;
  }
  const demand = value as DemandValue | undefined;
  const isDemand = row.key.startsWith(DEMAND) && Array.isArray(demand?.demands);
  if (!isDemand) return undefined;
  const service = brandAs<ServiceId>(row.key.slice(DEMAND.length));
  return {kind: 'demand', service, demands: demand.demands};
}
