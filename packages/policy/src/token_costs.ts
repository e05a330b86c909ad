/** Charges client accounts for their requests, in weighted tokens. */

import type {DispatchQueue} from './dispatch_queue.js';
import type {HeldPermit} from './permit_book.js';

/** Prompt tokens are read in batches; each output token takes a whole step. */
const PROMPT_WEIGHT = 1;
const OUTPUT_WEIGHT = 2;

/** Weighted cost of tokens read and written. */
export function tokenCost(promptTokens: number, outputTokens: number): number {
  return promptTokens * PROMPT_WEIGHT + outputTokens * OUTPUT_WEIGHT;
}

/**
 * Charges the output that an attempt is expected to produce, when it starts.
 */
export function chargeExpected(
  queue: DispatchQueue,
  permit: HeldPermit,
  expectedTokens: number,
): void {
  permit.chargedTokens = tokenCost(0, expectedTokens);
  queue.charge(permit, permit.chargedTokens);
}

/** Charges the output of an attempt beyond what it has been charged so far. */
export function chargeProgress(queue: DispatchQueue, permit: HeldPermit): void {
  const excess = tokenCost(0, permit.outputTokens) - permit.chargedTokens;
  if (excess <= 0) return;
  permit.chargedTokens += excess;
  queue.charge(permit, excess);
}

/** Replaces the charges so far by the actual cost of the ended attempt. */
export function settleCharge(
  queue: DispatchQueue,
  permit: HeldPermit,
  promptTokens: number,
  outputTokens: number,
): void {
  const actual = tokenCost(promptTokens, outputTokens);
  queue.charge(permit, actual - permit.chargedTokens);
}
