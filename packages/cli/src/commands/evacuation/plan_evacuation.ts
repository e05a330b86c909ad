/** Plans the ticket that evacuates or restores a data centre. */

const KIND = 'data_centre';

/** A ticket as the administration API lists it. */
export interface ListedTicket {
  readonly number: number;
  readonly changes: ReadonlyArray<{
    readonly kind: string;
    readonly id: string;
    readonly state?: unknown;
  }>;
}

/** Input of {@link planEvacuation}. */
export interface EvacuationRequest {
  /** All accepted tickets, in any order. */
  readonly tickets: readonly ListedTicket[];
  readonly dataCentre: string;
  /** False to restore the data centre. */
  readonly evacuated: boolean;
  readonly author: string;
  readonly reason: string;
}

/** Result of {@link planEvacuation}. */
export type EvacuationPlan =
  | {readonly kind: 'ticket'; readonly ticket: object}
  /** The data centre is in the requested state already. */
  | {readonly kind: 'unchanged'}
  /** No such data centre is configured. */
  | {readonly kind: 'unknown'};

/**
 * Plans the change. A ticket contains the whole new state of an object, so the
 * data centre's other fields are copied from the latest ticket that changed it.
 *
 * @example
 * const plan = planEvacuation({tickets, dataCentre, evacuated: true, ...rest});
 */
export function planEvacuation(request: EvacuationRequest): EvacuationPlan {
  const {tickets, dataCentre, evacuated, author, reason} = request;
  const newestFirst = tickets.toSorted((a, b) => b.number - a.number);
  const latest = newestFirst
    .flatMap(({changes}) => changes)
    .find(({kind, id}) => kind === KIND && id === dataCentre);
  const state = latest?.state as Record<string, unknown> | null | undefined;
  if (state === undefined || state === null) return {kind: 'unknown'};
  if ((state.evacuated === true) === evacuated) return {kind: 'unchanged'};
  const next = {...state, evacuated: evacuated || undefined};
  return {
    kind: 'ticket',
    ticket: {
      number: newestFirst[0].number + 1,
      author,
      reason,
      changes: [{kind: KIND, id: dataCentre, state: next}],
    },
  };
}
