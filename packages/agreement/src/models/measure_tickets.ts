/**
 * Measures how often tickets submitted at the same time conflict, under either
 * strategy, over an in-memory table.
 */

import type {
  ChangeTicket,
  ObjectChange,
} from '@snipestage/types/configuration.js';
import {brandAs, type ChangeTicketNumber} from '@snipestage/types/ids.js';
import {
  beginTicket,
  transitionTicket,
  type TicketOutcome,
  type TicketState,
} from '../tickets.js';
import type {TableEffect} from '../table_effects.js';
import type {TicketStrategy} from '../ticket_plan.js';
import {carryOut, EMPTY_TABLE, type TableModel} from './table_model.js';

/** Counts of a measurement. */
export interface TicketMeasure {
  readonly tickets: number;
  readonly accepted: number;
  /** Tickets with any outcome but `accepted`. */
  readonly refused: number;
  /** Tickets that needed more than one transaction. */
  readonly retried: number;
  readonly transactions: number;
  readonly reads: number;
}

interface Operator {
  readonly state: TicketState;
  readonly pending: TableEffect | undefined;
}

/**
 * Lets `operators` submit one ticket each at the same time, in `rounds` rounds,
 * with the steps of all in a seeded random order. Each operator's tickets change
 * one account; all accounts refer to the same request class.
 *
 * @example
 * measureTickets({operators: 16, strategy: 'dependency', rounds: 50, seed: 1});
 */
export function measureTickets(options: {
  readonly operators: number;
  readonly strategy: TicketStrategy;
  readonly rounds: number;
  readonly seed: number;
}): TicketMeasure {
  const {operators, strategy, rounds} = options;
  const random = createRandom(options.seed);
  const outcomes: TicketOutcome[] = [];
  let counts = {retried: 0, transactions: 0, reads: 0};
  let table = seedTable();
  for (let round = 0; round < rounds; round++) {
    const running = Array.from({length: operators}, (_, index) => {
      const number = 2 + round * operators + index;
      const ticket = composeTicket(number, accountChange(`account-${index}`));
      const {state, effects} = beginTicket({ticket, strategy});
      return {state, pending: effects[0]};
    });
    const ended = runAll(table, running, random);
    table = ended.table;
    outcomes.push(...ended.outcomes);
    counts = addCounts(counts, ended.counts);
  }
  const accepted = outcomes.filter(({kind}) => kind === 'accepted').length;
  const tickets = outcomes.length;
  return {tickets, accepted, refused: tickets - accepted, ...counts};
}

type Counts = Pick<TicketMeasure, 'retried' | 'transactions' | 'reads'>;

function runAll(
  start: TableModel,
  operators: Operator[],
  random: () => number,
): {table: TableModel; outcomes: TicketOutcome[]; counts: Counts} {
  let table = start;
  const transactions = operators.map(() => 0);
  let reads = 0;
  for (;;) {
    const busy = operators
      .map((operator, index) => ({operator, index}))
      .filter(({operator}) => operator.pending !== undefined);
    if (busy.length === 0) {
      break;
    }
    const {operator, index} = busy[Math.floor(random() * busy.length)];
    const effect = operator.pending!;
    const step = carryOut(table, effect, 0);
    table = step.table;
    transactions[index] += effect.kind === 'transact' ? 1 : 0;
    reads += effect.kind === 'read' ? 1 : 0;
    const next = transitionTicket(operator.state, step.event);
    operators[index] = {state: next.state, pending: next.effects[0]};
  }
  const counts: Counts = {
    retried: transactions.filter(count => count > 1).length,
    transactions: transactions.reduce((sum, count) => sum + count, 0),
    reads,
  };
  return {table, outcomes: operators.map(({state}) => state.outcome!), counts};
}

function addCounts(left: Counts, right: Counts): Counts {
  return {
    retried: left.retried + right.retried,
    transactions: left.transactions + right.transactions,
    reads: left.reads + right.reads,
  };
}

function seedTable(): TableModel {
  const ticket = composeTicket(1, {
    kind: 'request_class',
    id: 'counter',
    state: {
      id: brandAs('counter'),
      tier: 0,
      firstTokenTargetMs: 500,
      betweenTokensTargetMs: 50,
      deadlineMs: 10_000,
      guaranteedShare: 0,
      cheapEndpointsAllowed: false,
    },
  });
  const {state, effects} = beginTicket({ticket});
  return runAll(EMPTY_TABLE, [{state, pending: effects[0]}], () => 0).table;
}

function accountChange(id: string): ObjectChange {
  return {
    kind: 'client_account',
    id,
    state: {
      id: brandAs(id),
      keyHashes: [],
      requestClasses: [brandAs('counter')],
      defaultRequestClass: brandAs('counter'),
    },
  };
}

function composeTicket(number: number, change: ObjectChange): ChangeTicket {
  return {
    number: brandAs<ChangeTicketNumber>(number),
    author: 'operator',
    reason: 'measurement',
    changes: [change],
  };
}

/** The mulberry32 generator: small, seeded, good enough to order steps. */
function createRandom(seed: number): () => number {
  let current = seed;
  return () => {
    current = (current + 0x6d2b79f5) | 0;
    let mixed = Math.imul(current ^ (current >>> 15), 1 | current);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
