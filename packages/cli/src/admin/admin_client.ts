/** Calls the administration API of instances, one after another. */

import got, {RequestError} from 'got';
import type {z} from 'zod';
import {CommandError} from '../command_error.js';
import {EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE} from '../exit_codes.js';
import {errorAnswer} from './admin_answers.js';

const CONNECT_TIMEOUT_MS = 3000;
const DEFAULT_TIMEOUT_MS = 15_000;

/** Errors before a connection was established: nothing can have been sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
]);

/** A call of the API. */
export interface AdminCall {
  readonly method: 'GET' | 'POST';
  /** After `/admin/v1`, such as `/status`. */
  readonly path: string;
  readonly body?: unknown;
}

/**
 * Result of a call to one instance.
 *
 * - `answered`: the instance answered, with any status.
 * - `unreachable`: the call did not reach the instance.
 * - `no_answer`: the instance may have carried out the call.
 */
export type AdminReply =
  | {
      readonly kind: 'answered';
      readonly url: string;
      readonly status: number;
      readonly body: unknown;
    }
  | {
      readonly kind: 'unreachable' | 'no_answer';
      readonly url: string;
      readonly reason: string;
    };

/** A reply with a status. */
export type AnsweredReply = Extract<AdminReply, {kind: 'answered'}>;

/** Options of {@link AdminClient}. */
export interface AdminClientOptions {
  readonly urls: readonly string[];
  readonly operatorKey: string;
  readonly timeoutMs?: number;
}

/** Never retries a call; whether to repeat it is decided by the command. */
export class AdminClient {
  readonly urls: readonly string[];

  /** @throws CommandError when an address is no URL. */
  constructor(private readonly options: AdminClientOptions) {
    this.urls = options.urls.map(checkUrl);
  }

  /** Calls one instance; returns network errors instead of throwing them. */
  async ask(url: string, call: AdminCall): Promise<AdminReply> {
    try {
      const response = await got(`${url}/admin/v1${call.path}`, {
        method: call.method,
        json: call.body,
        headers: {authorization: `Bearer ${this.options.operatorKey}`},
        retry: {limit: 0},
        followRedirect: false,
        throwHttpErrors: false,
        timeout: {
          connect: CONNECT_TIMEOUT_MS,
          request: this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
        },
      });
      const body = parseBody(response.body);
      return {kind: 'answered', url, status: response.statusCode, body};
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      const kind = wasNotSent(error) ? 'unreachable' : 'no_answer';
      return {kind, url, reason: error.message};
    }
  }

  /**
   * Calls the instances in turn until one answers with a status below 500. Only
   * for calls that change nothing.
   *
   * @throws CommandError when none does, or the key is not accepted.
   */
  async read(call: AdminCall): Promise<AnsweredReply> {
    const reasons: string[] = [];
    for (const url of this.urls) {
      const reply = await this.ask(url, call);
      if (reply.kind !== 'answered') {
        reasons.push(`${url}: ${reply.reason}`);
      } else if (reply.status >= 500) {
        reasons.push(`${url}: ${describeStatus(reply)}`);
      } else {
        throwIfKeyRefused(reply);
        return reply;
      }
    }
    throw unreachableError(reasons);
  }
}

/**
 * Creates the error for a call that no instance answered.
 *
 * @example
 * throw unreachableError(['http://10.0.0.1:8081: connect ECONNREFUSED']);
 */
export function unreachableError(reasons: readonly string[]): CommandError {
  return new CommandError(
    'No instance answered. Check that one is up and that --admin-url names ' +
      `its administration port.\n  ${reasons.join('\n  ')}`,
    {exitCode: EXIT_UNREACHABLE},
  );
}

/**
 * @throws CommandError when the operator key is not accepted.
 *
 * @example
 * throwIfKeyRefused(reply);
 */
export function throwIfKeyRefused(reply: AnsweredReply): void {
  if (reply.status !== 401 && reply.status !== 403) return;
  throw new CommandError(
    `${reply.url} does not accept the operator key. Its hash (snipestage ` +
      'keys hash) must be in admin.operatorKeyHashes of the settings.',
    {exitCode: EXIT_REFUSED},
  );
}

/**
 * Parses an answer with its schema.
 *
 * @throws CommandError when the answer doesn't match.
 * @example
 * const {faults} = readAnswer(reply, validateAnswer);
 */
export function readAnswer<Schema extends z.ZodType>(
  reply: AnsweredReply,
  schema: Schema,
): z.output<Schema> {
  const result = schema.safeParse(reply.body);
  if (result.success) return result.data;
  throw new CommandError(
    `${reply.url} gave an answer that this command does not understand ` +
      `(${describeStatus(reply)}). Check that the address is an ` +
      'administration port and that both are of one version.',
    {exitCode: EXIT_UNREACHABLE},
  );
}

/**
 * Describes an answer by its status and, if there is one, its message.
 *
 * @example
 * describeStatus(reply); // 'status 503, The platform can not be read.'
 */
export function describeStatus(reply: AnsweredReply): string {
  const parsed = errorAnswer.safeParse(reply.body);
  return parsed.success
    ? `status ${reply.status}, ${parsed.data.message}`
    : `status ${reply.status}`;
}

function wasNotSent(error: RequestError): boolean {
  if (NOT_SENT_CODES.has(error.code)) return true;
  const {event} = error as {event?: unknown};
  return error.code === 'ETIMEDOUT' && event === 'connect';
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function checkUrl(url: string): string {
  if (URL.canParse(url) && /^https?:/.test(url)) return url.replace(/\/+$/, '');
  throw new CommandError(
    `--admin-url ${url} is no URL. It reads like http://10.0.0.1:8081.`,
    {exitCode: EXIT_USAGE},
  );
}
