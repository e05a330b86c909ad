/** Submits a ticket until its outcome is known or the attempts are used up. */

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

/** Statuses with which the API reports a final outcome. */
const SETTLED_STATUSES: ReadonlySet<number> = new Set([200, 409, 422]);

/** Result of {@link submitTicket}. */
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
  /** It may have been accepted, or may still be. */
  | {readonly kind: 'unknown'; readonly reasons: readonly string[]}
  /** Nothing took effect. */
  | {readonly kind: 'unavailable'; readonly reasons: readonly string[]};

/** Options of {@link submitTicket}; defaults in brackets. */
export interface SubmitOptions {
  readonly client: AdminClient;
  readonly sleep: (delayMs: number) => Promise<void>;
  /** How often all instances are called before giving up (5). */
  readonly rounds?: number;
  readonly onProgress?: (text: string) => void;
}

/**
 * Sends the ticket to the instances in turn, with the same number each time.
 * The router accepts a number with the same content only once, so that sending
 * the ticket again after a lost answer determines the outcome and can't apply
 * the change twice.
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
      options.onProgress?.(`${reasons.join('; ')}; trying again.\n`);
      await options.sleep(delayMsOf(round));
    }
    reasons = [];
    for (const url of client.urls) {
      const call = {method: 'POST', path: '/tickets', body: ticket} as const;
      const reply = await client.ask(url, call);
      if (isSettled(reply)) return outcomeOf(reply);
      // Never reset: that another instance could not do anything doesn't show
      // what the first one did.
      inDoubt ||= leavesOutcomeUnknown(reply);
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

function leavesOutcomeUnknown(reply: AdminReply): boolean {
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
