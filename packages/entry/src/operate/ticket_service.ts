/** Accepts change tickets on behalf of operators. */

import {
  beginTicket,
  limitToThisAttempt,
  transitionTicket,
  type TicketOutcome,
} from '@snipestage/agreement/tickets.js';
import {
  TICKETS_PREFIX,
  ticketKey,
  type TicketValue,
} from '@snipestage/agreement/ticket_rows.js';
import {applyChanges} from '@snipestage/configuration/configuration.js';
import {checkReferences} from '@snipestage/configuration/references.js';
import {checkSharedRules} from '@snipestage/configuration/references.js';
import {checkTicket} from '@snipestage/configuration/ticket_schema.js';
import type {Fault} from '@snipestage/errors/request_error.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {ChangeTicket} from '@snipestage/types/configuration.js';
import type {ChangeTicketNumber} from '@snipestage/types/ids.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import type {RevisionTask} from '../configure/revision_task.js';
import type {TableExecutor} from '../configure/table_executor.js';

/** Outcome of a submitted ticket, as reported to the operator. */
export type SubmitOutcome =
  | TicketOutcome
  | {readonly kind: 'malformed'; readonly faults: readonly Fault[]};

/** Accepted tickets, or the reason why they can't be read. */
export type TicketList =
  | {readonly kind: 'tickets'; readonly tickets: readonly ChangeTicket[]}
  | {readonly kind: 'unavailable'; readonly reason: string};

/** Options of {@link TicketService}. */
export interface TicketServiceOptions {
  readonly platform: Platform;
  readonly executor: TableExecutor;
  readonly store: ConfigurationStore;
  readonly revisions: RevisionTask;
}

/**
 * Each call serves one operator. Calls may run concurrently with any others, on
 * this instance or another.
 */
export class TicketService {
  private readonly inProgress = new Set<Promise<SubmitOutcome>>();
  private isClosing = false;

  constructor(private readonly options: TicketServiceOptions) {}

  /** Returns all faults of a ticket that this instance can detect. */
  validate(input: unknown): readonly Fault[] {
    const checked = checkTicket(input);
    if ('faults' in checked) return checked.faults;
    return this.checkAgainstCurrent(checked.ticket);
  }

  /**
   * Accepts a ticket completely or not at all. Its form, and the rules on
   * objects that don't refer to one another, are checked here, the latter
   * against the configuration in force. References are checked in the
   * transaction, against the table, which is authoritative.
   */
  async submit(input: unknown): Promise<SubmitOutcome> {
    if (this.isClosing) return {kind: 'unavailable'};
    const outcome = this.accept(input);
    this.inProgress.add(outcome);
    try {
      return await outcome;
    } finally {
      this.inProgress.delete(outcome);
    }
  }

  /**
   * Accepts no more tickets, and resolves when each one in progress has its
   * outcome: after the calls of at most two attempts, each of which has a
   * timeout. If the process ended earlier, the operator would be left with a
   * closed connection, which doesn't say whether the ticket is in force.
   */
  async close(): Promise<void> {
    this.isClosing = true;
    await Promise.allSettled(this.inProgress);
  }

  private async accept(input: unknown): Promise<SubmitOutcome> {
    const checked = checkTicket(input);
    if ('faults' in checked) return {kind: 'malformed', faults: checked.faults};
    const shared = this.checkShared(checked.ticket);
    if (shared.length > 0) return {kind: 'malformed', faults: shared};
    let step = beginTicket({ticket: checked.ticket});
    while (step.state.outcome === undefined) {
      const event = await this.options.executor.carryOut(step.effects[0]);
      const {state} = step;
      step = transitionTicket(
        this.isClosing ? limitToThisAttempt(state) : state,
        event,
      );
    }
    this.options.revisions.poll();
    return step.state.outcome;
  }

  async list(): Promise<TicketList> {
    const result = await this.options.platform.scanRows(TICKETS_PREFIX);
    if (result.kind === 'unavailable') return result;
    const tickets = result.rows.map(row => (row.value as TicketValue).ticket);
    return {kind: 'tickets', tickets: tickets.reverse()};
  }

  async show(number: ChangeTicketNumber): Promise<TicketList> {
    const result = await this.options.platform.readRows([ticketKey(number)]);
    if (result.kind === 'unavailable') return result;
    const tickets = result.rows.map(row => (row.value as TicketValue).ticket);
    return {kind: 'tickets', tickets};
  }

  /**
   * Checks rules on objects that don't refer to one another, such as the same
   * key in two client accounts, against the configuration in force here. Two
   * concurrent tickets can still break such a rule; a key that is in two
   * accounts is then valid for neither.
   */
  private checkShared(ticket: ChangeTicket): readonly Fault[] {
    const {current, revision} = this.options.store;
    return checkSharedRules(applyChanges(current, ticket.changes, revision));
  }

  private checkAgainstCurrent(ticket: ChangeTicket): readonly Fault[] {
    const {current, revision} = this.options.store;
    return checkReferences(applyChanges(current, ticket.changes, revision));
  }
}
