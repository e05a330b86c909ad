/** Builds the body with which another engine continues an incomplete answer. */

import type {CompletionPath} from './engine_driver.js';

/** The part of an answer that has arrived. */
export interface PartialAnswer {
  readonly text: string;
  readonly outputTokens: number;
}

/**
 * The caller's body with the partial answer as the start of the answer. Chat
 * engines take it as an unfinished message of the assistant
 * (`continue_final_message`, as in vLLM and SGLang); completion engines as an
 * extension of the prompt. `max_tokens` is reduced by the tokens that have
 * arrived.
 *
 * @example
 * const body = continuationBody('/v1/completions', callersBody, partial);
 */
export function continuationBody(
  path: CompletionPath,
  body: Readonly<Record<string, unknown>>,
  partial: PartialAnswer,
): Record<string, unknown> {
  if (partial.outputTokens === 0) return {...body};
  const limit = remainingTokens(body, partial);
  if (path === '/v1/completions') {
    return {...body, ...limit, prompt: `${String(body.prompt)}${partial.text}`};
  }
  const messages = Array.isArray(body.messages) ? body.messages : [];
  return {
    ...body,
    ...limit,
    messages: [...messages, {role: 'assistant', content: partial.text}],
    continue_final_message: true,
    add_generation_prompt: false,
  };
}

function remainingTokens(
  body: Readonly<Record<string, unknown>>,
  partial: PartialAnswer,
): {max_tokens?: number} {
  if (typeof body.max_tokens !== 'number') return {};
  return {max_tokens: Math.max(1, body.max_tokens - partial.outputTokens)};
}
