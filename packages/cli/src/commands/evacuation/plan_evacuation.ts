/** The ticket that evacuates or restores a data centre. */

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

/** What an evacuation is planned from. */
export interface EvacuationRequest {
  /** All accepted tickets, in any order. */
  readonly tickets: readonly ListedTicket[];
  readonly dataCentre: string;
  /** False: it is restored. */
  readonly evacuated: boolean;
  readonly author: string;
  readonly reason: string;
}

/** What has to be done. */
export type EvacuationPlan =
  | {readonly kind: 'ticket'; readonly ticket: object}
  /** It is in the wanted state already. */
  | {readonly kind: 'unchanged'}
  /** No such data centre is configured. */
  | {readonly kind: 'unknown'};

/**
 * A ticket carries the whole new state of an object, so the data centre's other
 * fields come from the latest ticket that changed it.
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
