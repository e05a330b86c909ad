/** Looks for a permit in one data centre after the other. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {CellId, EndpointId} from '@snipestage/types/ids.js';
import type {PermitAsk, PermitRefusal} from '@snipestage/types/permits.js';
import type {MonotonicClock} from '../clock.js';
import type {AskResult, CellClients} from './cell_clients.js';

/** A cell and what it would be asked. */
export interface SearchedCell {
  readonly cell: CellId;
  readonly ask: PermitAsk;
}

export type SearchResult =
  | {
      readonly kind: 'found';
      readonly found: SearchedCell & {readonly endpointId: EndpointId};
    }
  | {readonly kind: 'refused'; readonly refusal: PermitRefusal};

/** Options of {@link PermitSearch}. */
export interface PermitSearchOptions {
  readonly clients: CellClients;
  readonly clock: MonotonicClock;
  /** One a data centre, nearest first; not empty. */
  readonly cells: readonly SearchedCell[];
  /** How long it waits in one before it also asks the next. */
  readonly spillAfterMs: number;
}

/**
 * Waits in the nearest cell; while it waits there for long, or as soon as it is
 * refused there, the next data centre is asked too. The first permit counts and
 * the other asks are withdrawn. Refused only when all have refused: a request
 * must not be turned away while another data centre is idle.
 */
export class PermitSearch {
  private readonly startedAtMs: number;
  private readonly open = new Set<SearchedCell>();
  private next = 0;
  private lastRefusal: PermitRefusal | undefined;
  private timer: NodeJS.Timeout | undefined;
  private settle: (result: SearchResult) => void = () => {};
  private fail: (error: RequestError) => void = () => {};

  constructor(private readonly options: PermitSearchOptions) {
    this.startedAtMs = options.clock();
  }

  /**
   * Runs the search once.
   *
   * @throws RequestError, verdict `not_run`, when the signal aborts.
   */
  async run(signal: AbortSignal): Promise<SearchResult> {
    const onAbort = () => this.fail(abortError(signal));
    try {
      return await new Promise<SearchResult>((resolve, reject) => {
        this.settle = resolve;
        this.fail = reject;
        if (signal.aborted) {
          onAbort();
          return;
        }
        signal.addEventListener('abort', onAbort, {once: true});
        this.askNext();
      });
    } finally {
      signal.removeEventListener('abort', onAbort);
      clearTimeout(this.timer);
      this.withdrawOpen();
    }
  }

  private askNext(): void {
    clearTimeout(this.timer);
    const {cells, clients, clock, spillAfterMs} = this.options;
    if (this.next >= cells.length) {
      this.refuseIfNoneIsOpen();
      return;
    }
    const searched = cells[this.next];
    this.next += 1;
    this.open.add(searched);
    const elapsedMs = clock() - this.startedAtMs;
    const remainingMs = Math.max(0, searched.ask.remainingMs - elapsedMs);
    if (this.next < cells.length) {
      this.timer = setTimeout(() => this.askNext(), spillAfterMs);
    }
    clients.ask({...searched.ask, remainingMs}, result =>
      this.take(searched, result),
    );
  }

  private take(searched: SearchedCell, result: AskResult): void {
    this.open.delete(searched);
    if (result.kind === 'start') {
      const found = {...searched, endpointId: result.endpoint};
      this.settle({kind: 'found', found});
      return;
    }
    this.lastRefusal = sooner(this.lastRefusal, result.refusal);
    this.askNext();
  }

  private refuseIfNoneIsOpen(): void {
    if (this.open.size > 0 || this.lastRefusal === undefined) return;
    this.settle({kind: 'refused', refusal: this.lastRefusal});
  }

  private withdrawOpen(): void {
    for (const {cell, ask} of this.open) {
      this.options.clients.withdraw(cell, ask.attempt);
    }
    this.open.clear();
  }
}

/** The caller is to come back when the first of them may have room. */
function sooner(
  left: PermitRefusal | undefined,
  right: PermitRefusal,
): PermitRefusal {
  if (left === undefined) return right;
  return right.retryAfterMs < left.retryAfterMs ? right : left;
}

function abortError(signal: AbortSignal): RequestError {
  const reason: unknown = signal.reason;
  if (reason instanceof RequestError) return reason;
  return new RequestError('The caller hung up while the request waited.', {
    code: 'internal',
    verdict: 'not_run',
  });
}
