/**
 * The text that engine stand-ins produce. It is derived from the prompt, so
 * that an answer to another prompt, a missing or a duplicated token shows in
 * the text.
 */

import {createHash} from 'node:crypto';

/** The fields of an OpenAI-compatible request that engine stand-ins read. */
export interface CompletionRequest {
  readonly model: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly prompt?: string;
  readonly messages?: ReadonlyArray<{
    readonly role: string;
    readonly content: unknown;
  }>;
}

/** The prompt of a request and where its completion starts. */
export interface Prompt {
  /** The prompt without tokens that were produced earlier. */
  readonly text: string;
  /** Index of the first token to produce; above 0 for a continuation. */
  readonly firstIndex: number;
}

const TAG_LENGTH = 8;
const PRODUCED_TOKENS = /(?: ?[0-9a-f]{8}-\d+)+$/;
const LAST_INDEX = /-(\d+)$/;

/**
 * Extracts the prompt. If the request ends in tokens that were produced for the
 * same prompt (a trailing assistant message, or the end of `prompt`), the
 * completion continues after them.
 *
 * @example
 * promptOf({model: 'repair', prompt: 'Patch a tent'}).text; // 'Patch a tent'
 */
export function promptOf(request: CompletionRequest): Prompt {
  const messages = request.messages ?? [];
  const last = messages[messages.length - 1];
  if (last !== undefined && last.role === 'assistant') {
    const prior = textOf(messages.slice(0, -1));
    return continued(prior, String(last.content));
  }
  if (messages.length > 0) return {text: textOf(messages), firstIndex: 0};
  const whole = request.prompt ?? '';
  const produced = PRODUCED_TOKENS.exec(whole)?.[0] ?? '';
  const prior = whole.slice(0, whole.length - produced.length);
  const resumes = produced.trimStart().startsWith(tagOf(prior));
  return resumes ? continued(prior, produced) : {text: whole, firstIndex: 0};
}

/**
 * Returns the token at an index; the completion is the tokens joined.
 *
 * @example
 * tokenAt('Patch a tent', 0);
 */
export function tokenAt(prompt: string, index: number): string {
  return tokenWithTag(tagOf(prompt), index);
}

/** Like {@link tokenAt}, with the prompt's tag from {@link tagOf}. */
export function tokenWithTag(tag: string, index: number): string {
  return index === 0 ? `${tag}-0` : ` ${tag}-${index}`;
}

/**
 * Returns the complete text that a caller must receive.
 *
 * @example
 * t.is(answer, expectedCompletion('user: Patch a tent', 12));
 */
export function expectedCompletion(prompt: string, tokens: number): string {
  const tag = tagOf(prompt);
  return Array.from({length: tokens}, (_, index) =>
    tokenWithTag(tag, index),
  ).join('');
}

/**
 * Joins messages into one text with a line `<role>: <content>` for each.
 *
 * @example
 * textOf([{role: 'user', content: 'Hi'}]); // 'user: Hi'
 */
export function textOf(
  messages: NonNullable<CompletionRequest['messages']>,
): string {
  return messages
    .map(({role, content}) => `${role}: ${contentText(content)}`)
    .join('\n');
}

/** Returns the tag contained in every token produced for a prompt. */
export function tagOf(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, TAG_LENGTH);
}

/** Counts the tokens of a prompt; each word counts as one. */
export function countTokens(text: string): number {
  return text.split(/\s+/).filter(word => word !== '').length;
}

function contentText(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content);
}

function continued(prior: string, produced: string): Prompt {
  const lastIndex = LAST_INDEX.exec(produced.trimEnd())?.[1];
  const firstIndex = lastIndex === undefined ? 0 : Number(lastIndex) + 1;
  return {text: prior, firstIndex};
}
