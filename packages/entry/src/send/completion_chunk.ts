/** Parses the chunks of an OpenAI-compatible stream. */

import type {AttemptId} from '@snipestage/types/ids.js';
import {EndpointError} from './endpoint_error.js';
import type {EngineEvent} from './engine_driver.js';

/** Data of the event that ends a complete stream. */
export const STREAM_END = '[DONE]';

interface CompletionChoice {
  readonly delta?: {readonly content?: string | null};
  readonly text?: string;
  readonly finish_reason?: string | null;
}

interface CompletionChunk extends Record<string, unknown> {
  readonly id?: string;
  readonly choices?: readonly CompletionChoice[];
  readonly usage?: {
    readonly prompt_tokens?: number;
    readonly completion_tokens?: number;
  } | null;
  readonly error?: {readonly message?: string};
}

/**
 * Parses the events of one chunk. A chunk of another request, late or
 * misdirected, must never reach this caller.
 *
 * @throws EndpointError `mismatched` for another request's chunk, `broken`
 * for one that isn't JSON, `errored` for an error that the engine reports.
 * @example
 * for (const event of readCompletionChunk(data, attempt)) handle(event);
 */
export function readCompletionChunk(
  data: string,
  attempt: AttemptId,
): EngineEvent[] {
  const chunk = parseChunk(data);
  if (chunk.error !== undefined) {
    throw new EndpointError(chunk.error.message ?? 'The engine failed.', {
      kind: 'errored',
    });
  }
  if (chunk.id !== attempt) {
    throw new EndpointError('A chunk of another request arrived.', {
      kind: 'mismatched',
    });
  }
  const events: EngineEvent[] = [];
  const choice = chunk.choices?.[0];
  const text = choice?.delta?.content ?? choice?.text ?? '';
  const finishReason = choice?.finish_reason ?? undefined;
  if (text !== '') {
    events.push({kind: 'token', text, finishReason, chunk});
  } else if (finishReason !== undefined) {
    events.push({kind: 'finish', finishReason, chunk});
  }
  if (chunk.usage) {
    events.push({
      kind: 'usage',
      promptTokens: chunk.usage.prompt_tokens ?? 0,
      outputTokens: chunk.usage.completion_tokens ?? 0,
    });
  }
  return events;
}

function parseChunk(data: string): CompletionChunk {
  try {
    return JSON.parse(data) as CompletionChunk;
  } catch (cause) {
    throw new EndpointError('The engine sent a chunk that is not JSON.', {
      kind: 'broken',
      cause,
    });
  }
}
