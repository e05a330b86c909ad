/** Compares the reported usage with the answers that callers received. */

import type {UsageReport} from '@snipestage/types/platform_messages.js';
import type {Outcome} from './load.js';

/** Usage that was reported to the platform, compared with the answers. */
export interface UsageCheck {
  readonly windowsReported: number;
  /** Windows reported again with different figures. */
  readonly windowsContradicted: number;
  /** Tokens of the complete answers that callers received. */
  readonly deliveredTokens: number;
  readonly reportedTokens: number;
  /** Client accounts billed for fewer tokens than their complete answers. */
  readonly accountsBilledTooLittle: number;
}

/** One report that the platform received, and the status of its answer. */
export interface ReceivedReport {
  readonly status: number;
  readonly content: UsageReport;
}

const HTTP_OK = 200;

/**
 * Checks the reports of a run against its outcomes.
 *
 * @example
 * const check = checkUsage(log.reports, outcomes);
 */
export function checkUsage(
  reports: readonly ReceivedReport[],
  outcomes: readonly Outcome[],
): UsageCheck {
  const accepted = new Map<string, UsageReport>();
  for (const {content, status} of reports) {
    if (status === HTTP_OK) accepted.set(content.window, content);
  }
  const contradicted = reports.filter(({status}) => status !== HTTP_OK);
  const reported = reportedByAccount([...accepted.values()]);
  const delivered = deliveredByAccount(outcomes);
  return {
    windowsReported: accepted.size,
    windowsContradicted: new Set(
      contradicted.map(({content}) => content.window),
    ).size,
    deliveredTokens: sumOf(delivered),
    reportedTokens: sumOf(reported),
    accountsBilledTooLittle: [...delivered].filter(
      ([account, tokens]) => (reported.get(account) ?? 0) < tokens,
    ).length,
  };
}

function reportedByAccount(
  reports: readonly UsageReport[],
): Map<string, number> {
  const tokens = new Map<string, number>();
  for (const {clientAccount, outputTokens} of reports.flatMap(
    ({lines}) => lines,
  )) {
    add(tokens, clientAccount, outputTokens);
  }
  return tokens;
}

function deliveredByAccount(outcomes: readonly Outcome[]): Map<string, number> {
  const tokens = new Map<string, number>();
  for (const outcome of outcomes) {
    if (outcome.isComplete)
      add(tokens, outcome.arrival.account, outcome.tokens);
  }
  return tokens;
}

function add(map: Map<string, number>, key: string, value: number): void {
  map.set(key, (map.get(key) ?? 0) + value);
}

function sumOf(map: ReadonlyMap<string, number>): number {
  return [...map.values()].reduce((sum, value) => sum + value, 0);
}
