/** Sums the counters of all engines of a run. */

import type {EndpointKind} from '@snipestage/types/configuration.js';
import got from 'got';
import {PRICE_PER_HOUR} from './scenario.js';

/** An engine of a run. */
export interface RunEngine {
  readonly id: string;
  readonly dataCentre: string;
  readonly kind: EndpointKind;
  readonly url: string;
  /** When it was lost or reclaimed; absent while it runs. */
  endedAtMs?: number;
  /** Read shortly before it was lost or reclaimed, or at the end of the run. */
  counters?: EngineCounts;
}

/** Counters as reported by the log of an engine stand-in. */
export interface EngineCounts {
  readonly tokensProduced: number;
  readonly wastedTokens: number;
  readonly tokensLostInCrashes: number;
  readonly crashes: number;
  readonly runsByRequestId: Readonly<Record<string, number>>;
}

/** Sums over all engines of a run. */
export interface EngineTotals {
  readonly tokensProduced: number;
  readonly wastedTokens: number;
  readonly tokensLostInCrashes: number;
  readonly cheapTokens: number;
  readonly crashes: number;
  readonly spend: number;
  /** Ids of the callers' requests that some engine has run. */
  readonly requestIds: ReadonlySet<string>;
}

/** The period for which engines are billed. */
export interface BilledPeriod {
  readonly fromMs: number;
  readonly toMs: number;
}

const MS_PER_HOUR = 3_600_000;
/** The id of an attempt is the request's id, a dot and a number. */
const ATTEMPT_NUMBER = /\.\d+$/;

/**
 * Reads an engine's counters; those of an unreachable engine stay as last read.
 *
 * @example
 * await readCounters(engine);
 */
export async function readCounters(engine: RunEngine): Promise<void> {
  try {
    const log = got(`${engine.url}/control/log`, {retry: {limit: 0}});
    engine.counters = await log.json<EngineCounts>();
  } catch {
    return;
  }
}

/**
 * Sums the counters and the spend of all engines.
 *
 * @example
 * const totals = sumEngines(engines, {fromMs, toMs: performance.now()});
 */
export function sumEngines(
  engines: readonly RunEngine[],
  billed: BilledPeriod,
): EngineTotals {
  const sum = (valueOf: (counts: EngineCounts) => number, of = engines) =>
    of.reduce(
      (total, {counters}) =>
        total + (counters === undefined ? 0 : valueOf(counters)),
      0,
    );
  const cheap = engines.filter(({kind}) => kind === 'cheap');
  const attempts = engines.flatMap(({counters}) =>
    Object.keys(counters?.runsByRequestId ?? {}),
  );
  return {
    tokensProduced: sum(({tokensProduced}) => tokensProduced),
    wastedTokens: sum(({wastedTokens}) => wastedTokens),
    tokensLostInCrashes: sum(({tokensLostInCrashes}) => tokensLostInCrashes),
    cheapTokens: sum(({tokensProduced}) => tokensProduced, cheap),
    crashes: sum(({crashes}) => crashes),
    spend: engines.reduce(
      (total, engine) => total + spendOf(engine, billed),
      0,
    ),
    requestIds: new Set(attempts.map(id => id.replace(ATTEMPT_NUMBER, ''))),
  };
}

function spendOf(engine: RunEngine, {fromMs, toMs}: BilledPeriod): number {
  const runningMs = (engine.endedAtMs ?? toMs) - fromMs;
  return (runningMs / MS_PER_HOUR) * PRICE_PER_HOUR[engine.kind];
}
