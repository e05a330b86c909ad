/** The body that lets another engine go on where one broke off. */

import type {CompletionPath} from './engine_driver.js';

/** How far an answer has come. */
export interface AnswerSoFar {
  readonly text: string;
  readonly outputTokens: number;
}

/**
 * The caller's body with the text so far as the start of the answer. Chat
 * engines take it as an unfinished message of the assistant
 * (`continue_final_message`, as vLLM and SGLang have it); completion engines as
 * more prompt.
 *
 * @example
 * const body = continuationBody('/v1/completions', callersBody, soFar);
 */
export function continuationBody(
  path: CompletionPath,
  body: Readonly<Record<string, unknown>>,
  soFar: AnswerSoFar,
): Record<string, unknown> {
  if (soFar.outputTokens === 0) return {...body};
  const limit = remainingTokens(body, soFar);
  if (path === '/v1/completions') {
    return {...body, ...limit, prompt: `${String(body.prompt)}${soFar.text}`};
  }
  const messages = Array.isArray(body.messages) ? body.messages : [];
  return {
    ...body,
    ...limit,
    messages: [...messages, {role: 'assistant', content: soFar.text}],
    continue_final_message: true,
    add_generation_prompt: false,
  };
}

function remainingTokens(
  body: Readonly<Record<string, unknown>>,
  soFar: AnswerSoFar,
): {max_tokens?: number} {
  if (typeof body.max_tokens !== 'number') return {};
  return {max_tokens: Math.max(1, body.max_tokens - soFar.outputTokens)};
}
