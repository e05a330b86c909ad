/** Submits one ticket until its outcome is known, or it is no use any more. */

import type {Fault} from '@snipestage/errors/request_error.js';
import type {ChangeTicket} from '@snipestage/types/configuration.js';
import type {z} from 'zod';
import {submitAnswer} from '../../admin/admin_answers.js';
import {
  describeStatus,
  readAnswer,
  throwIfKeyRefused,
  type AdminClient,
  type AdminReply,
  type AnsweredReply,
} from '../../admin/admin_client.js';

const DEFAULT_ROUNDS = 5;
const FIRST_DELAY_MS = 500;
const MAX_DELAY_MS = 4000;

/** Statuses by which the API says that the ticket is settled. */
const SETTLED_STATUSES: ReadonlySet<number> = new Set([200, 409, 422]);

/** How submitting ended. */
export type SubmitOutcome =
  | {readonly kind: 'accepted'; readonly revision: number | undefined}
  | {readonly kind: 'already_accepted'; readonly revision: number | undefined}
  | {readonly kind: 'conflict'}
  | {
      readonly kind: 'superseded';
      readonly path: string | undefined;
      readonly by: number | undefined;
    }
  | {readonly kind: 'invalid'; readonly faults: readonly Fault[]}
  /** It may have been accepted, or may yet. */
  | {readonly kind: 'unknown'; readonly reasons: readonly string[]}
  /** Nothing took effect. */
  | {readonly kind: 'unavailable'; readonly reasons: readonly string[]};

/** What submitting needs besides the ticket. */
export interface SubmitOptions {
  readonly client: AdminClient;
  readonly sleep: (delayMs: number) => Promise<void>;
  /** How often all instances are asked before giving up. */
  readonly rounds?: number;
  readonly onProgress?: (text: string) => void;
}

/**
 * Asks the instances in turn, under the same number each time: the system
 * takes a number with the same content once, so that asking again after a lost
 * answer settles the outcome and can't do the change twice.
 *
 * @throws CommandError when the key is not accepted.
 * @example
 * const outcome = await submitTicket(ticket, {client, sleep});
 */
export async function submitTicket(
  ticket: ChangeTicket,
  options: SubmitOptions,
): Promise<SubmitOutcome> {
  const {client, rounds = DEFAULT_ROUNDS} = options;
  let inDoubt = false;
  let reasons: string[] = [];
  for (let round = 0; round < rounds; round++) {
    if (round > 0) {
      options.onProgress?.(`${reasons.join('; ')}; asking again.\n`);
      await options.sleep(delayMsOf(round));
    }
    reasons = [];
    for (const url of client.urls) {
      const call = {method: 'POST', path: '/tickets', body: ticket} as const;
      const reply = await client.ask(url, call);
      if (isSettled(reply)) return outcomeOf(reply);
      // Once in doubt always in doubt: that another instance could do nothing
      // says nothing about what the first one did.
      inDoubt ||= leavesDoubt(reply);
      reasons.push(`${url}: ${reasonOf(reply)}`);
    }
  }
  return {kind: inDoubt ? 'unknown' : 'unavailable', reasons};
}

function isSettled(reply: AdminReply): reply is AnsweredReply {
  if (reply.kind !== 'answered') return false;
  throwIfKeyRefused(reply);
  return SETTLED_STATUSES.has(reply.status);
}

function outcomeOf(reply: AnsweredReply): SubmitOutcome {
  const answer = readAnswer(reply, submitAnswer);
  switch (answer.outcome) {
    case 'accepted':
    case 'already_accepted':
      return {kind: answer.outcome, revision: answer.revision};
    case 'superseded':
      return {kind: 'superseded', path: answer.path, by: answer.by};
    case 'conflict':
      return {kind: 'conflict'};
    case 'invalid':
      return {kind: 'invalid', faults: answer.faults};
    default:
      return {kind: 'unknown', reasons: [describeOutcome(reply, answer)]};
  }
}

function leavesDoubt(reply: AdminReply): boolean {
  if (reply.kind !== 'answered') return reply.kind === 'no_answer';
  if (reply.status < 500) return false;
  const answer = submitAnswer.safeParse(reply.body);
  return !answer.success || answer.data.outcome !== 'unavailable';
}

function reasonOf(reply: AdminReply): string {
  if (reply.kind !== 'answered') return reply.reason;
  const answer = submitAnswer.safeParse(reply.body);
  return answer.success
    ? `outcome ${answer.data.outcome}`
    : describeStatus(reply);
}

function describeOutcome(
  reply: AnsweredReply,
  answer: z.output<typeof submitAnswer>,
): string {
  return `${reply.url}: ${describeStatus(reply)}, outcome ${answer.outcome}`;
}

function delayMsOf(round: number): number {
  return Math.min(FIRST_DELAY_MS * 2 ** (round - 1), MAX_DELAY_MS);
}
