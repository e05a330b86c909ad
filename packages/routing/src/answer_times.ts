/** Compares how fast one endpoint answers with the others of its service. */

import type {ServiceId} from '@snipestage/types/ids.js';

/**
 * Added to the tokens of each prompt: connections and the first generation
 * step take time as well, and would make short prompts look slow.
 */
const FIXED_TOKENS = 500;
/**
 * Weight of one answer. An instance sees one or two in a second, and the mean
 * has to follow a slowdown of all endpoints within seconds.
 */
const ANSWER_WEIGHT = 0.2;
/** With fewer answers of others there is nothing to compare with. */
const MIN_ANSWERS = 4;

interface LogMean {
  count: number;
  mean: number;
}

/**
 * Keeps geometric means of the times of settled endpoints, of all together: one
 * instance sees too few answers for a mean of each. Comparisons are ratios, so
 * that they hold while all endpoints of a service slow down.
 */
export class AnswerTimes {
  private readonly firstEvents = new Map<ServiceId, LogMean>();
  private readonly pauses = new Map<ServiceId, LogMean>();

  /** @param readTokens tokens of the prompt that had to be processed. */
  noteFirstEvent(service: ServiceId, waitMs: number, readTokens: number): void {
    add(this.firstEvents, service, waitPerToken(waitMs, readTokens));
  }

  notePauses(service: ServiceId, pausesMs: readonly number[]): void {
    if (pausesMs.length > 0) add(this.pauses, service, meanOf(pausesMs));
  }

  /**
   * Time until a first event, relative to that of the others; undefined while
   * too few of them have answered.
   *
   * @example
   * const ratio = times.compareFirstEvent(service, 300, 17_000);
   */
  compareFirstEvent(
    service: ServiceId,
    waitMs: number,
    readTokens: number,
  ): number | undefined {
    return compare(
      this.firstEvents.get(service),
      waitPerToken(waitMs, readTokens),
    );
  }

  /** As {@link compareFirstEvent}, for the mean pause of a stream. */
  comparePauses(
    service: ServiceId,
    pausesMs: readonly number[],
  ): number | undefined {
    if (pausesMs.length === 0) return undefined;
    return compare(this.pauses.get(service), meanOf(pausesMs));
  }
}

function waitPerToken(waitMs: number, readTokens: number): number {
  return Math.max(1, waitMs) / (FIXED_TOKENS + readTokens);
}

function meanOf(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return Math.max(0.1, sum / values.length);
}

function add(
  means: Map<ServiceId, LogMean>,
  service: ServiceId,
  value: number,
): void {
  const log = Math.log(value);
  const known = means.get(service) ?? {count: 0, mean: log};
  known.count += 1;
  known.mean += ANSWER_WEIGHT * (log - known.mean);
  means.set(service, known);
}

function compare(
  known: LogMean | undefined,
  value: number,
): number | undefined {
  if (known === undefined || known.count < MIN_ANSWERS) return undefined;
  return Math.exp(Math.log(value) - known.mean);
}
