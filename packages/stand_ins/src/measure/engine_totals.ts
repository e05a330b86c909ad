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
  /** When it was lost or reclaimed. */
  untilMs?: number;
  /** Its counters shortly before it was lost, or at the end. */
  counters?: EngineCounts;
}

/** As an engine stand-in's log tells them. */
export interface EngineCounts {
  readonly tokensProduced: number;
  readonly wastedTokens: number;
  readonly tokensLostInCrashes: number;
  readonly crashes: number;
  readonly runsByRequestId: Readonly<Record<string, number>>;
}

/** All engines together. */
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

/** The stretch of time for which engines are paid. */
export interface PaidTime {
  readonly fromMs: number;
  readonly toMs: number;
}

const MS_PER_HOUR = 3_600_000;
/** An attempt's id is the request's id and a number. */
const ATTEMPT_NUMBER = /\.\d+$/;

/**
 * Reads an engine's counters; one that is gone keeps those read last.
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
 * Adds the counters up.
 *
 * @example
 * const totals = sumEngines(engines, {fromMs, toMs: performance.now()});
 */
export function sumEngines(
  engines: readonly RunEngine[],
  paid: PaidTime,
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
    spend: engines.reduce((total, engine) => total + spendOf(engine, paid), 0),
    requestIds: new Set(attempts.map(id => id.replace(ATTEMPT_NUMBER, ''))),
  };
}

function spendOf(engine: RunEngine, {fromMs, toMs}: PaidTime): number {
  const runningMs = (engine.untilMs ?? toMs) - fromMs;
  return (runningMs / MS_PER_HOUR) * PRICE_PER_HOUR[engine.kind];
}
