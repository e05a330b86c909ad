/** Description of a prompt by the request for a model engine. */

import type {PromptPartId} from '@snipestage/types/ids.js';

/** Below this a cached prefix saves less than an uneven load costs. */
const MIN_SHARED_TOKENS = 1000;

export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

export interface Prompt {
  readonly tokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate; accurate at the median, often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** In order; the last belongs to this request or its session alone. */
  readonly parts: readonly PromptPart[];
}

/**
 * The deepest part that other requests may share. An engine that has it in its
 * cache has all parts before it as well.
 *
 * @example
 * const shared = deepestSharedPart(prompt);
 */
export function deepestSharedPart(prompt: Prompt): PromptPart | undefined {
  return prompt.parts[prompt.parts.length - 2];
}

/**
 * Ids of the parts that other requests may share, each once.
 *
 * @example
 * logger.info('attempt_failed', {parts: listSharedParts(prompt)});
 */
export function listSharedParts(
  prompt: Prompt | undefined,
): readonly PromptPartId[] {
  const shared = prompt?.parts.slice(0, -1) ?? [];
  return [...new Set(shared.map(({id}) => id))];
}

/** Tokens before the last part: what a warm cache saves. */
export function countSharedTokens(prompt: Prompt): number {
  const shared = prompt.parts.slice(0, -1);
  return shared.reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * Whether requests that share its prefix are sent to the same engine.
 *
 * @example
 * if (hasLongPrefix(prompt)) return this.chooseByPrefix(prompt);
 */
export function hasLongPrefix(prompt: Prompt): boolean {
  return countSharedTokens(prompt) >= MIN_SHARED_TOKENS;
}

/**
 * Work in units of prompt tokens. A generated token takes a whole step of the
 * batch, which an engine shares between its requests; the platform's price for
 * one is that of ten prompt tokens, and that ratio is used here.
 *
 * @param cached whether the shared parts are in the engine's cache.
 * @example
 * const work = workOf(prompt, true);
 */
export function workOf(prompt: Prompt, cached: boolean): number {
  const cachedTokens = cached ? countSharedTokens(prompt) : 0;
  // A caller may state parts that are larger than the prompt.
  const promptTokens = Math.max(0, prompt.tokens - cachedTokens);
  const output = prompt.expectedOutputTokens ?? prompt.maxOutputTokens;
  return promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * output;
}

const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
