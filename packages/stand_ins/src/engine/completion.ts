/**
 * The text that engine stand-ins produce. It is worked out from the prompt, so
 * that an answer to another prompt, a gap or a doubled token shows in the text.
 */

import {createHash} from 'node:crypto';

/** The fields of an OpenAI-compatible request that matter here. */
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

/** What a request asks for. */
export interface Prompt {
  /** The prompt without tokens that were produced before. */
  readonly text: string;
  /** Index of the first token to produce; above 0 when it is continued. */
  readonly firstIndex: number;
}

const TAG_LENGTH = 8;
const PRODUCED_TOKENS = /(?: ?[0-9a-f]{8}-\d+)+$/;
const LAST_INDEX = /-(\d+)$/;

/**
 * Finds the prompt. Where the request ends in tokens that were produced for the
 * same prompt (a trailing assistant message, or the end of `prompt`), it is
 * continued after them.
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
 * The token at an index; tokens joined make the completion.
 *
 * @example
 * tokenAt('Patch a tent', 0);
 */
export function tokenAt(prompt: string, index: number): string {
  return tokenWithTag(tagOf(prompt), index);
}

/** As {@link tokenAt}, for a tag from {@link tagOf}. */
export function tokenWithTag(tag: string, index: number): string {
  return index === 0 ? `${tag}-0` : ` ${tag}-${index}`;
}

/**
 * The whole completion that a caller must get.
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
 * Messages as one text, `<role>: <content>` each on a line.
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

/** The mark that all tokens for one prompt carry. */
export function tagOf(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, TAG_LENGTH);
}

/** Words stand in for the tokens of a prompt. */
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
