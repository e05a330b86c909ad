/** Searches for a permit in one data centre after the other. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {CellId, EndpointId} from '@snipestage/types/ids.js';
import type {
  CellPermitRequest,
  PermitRefusal,
} from '@snipestage/types/permits.js';
import type {MonotonicClock} from '../clock.js';
import type {CellClients, PermitResult} from './cell_clients.js';

/** A cell and the permit request for it. */
export interface CandidateCell {
  readonly cell: CellId;
  readonly ask: CellPermitRequest;
}

export type SearchResult =
  | {
      readonly kind: 'found';
      readonly found: CandidateCell & {readonly endpointId: EndpointId};
    }
  | {readonly kind: 'refused'; readonly refusal: PermitRefusal};

/** Options of {@link PermitSearch}. */
export interface PermitSearchOptions {
  readonly clients: CellClients;
  readonly clock: MonotonicClock;
  /** One per data centre, nearest first; not empty. */
  readonly cells: readonly CandidateCell[];
  /** How long a request waits in one cell before the next is asked too. */
  readonly spillAfterMs: number;
}

/**
 * Waits in the nearest cell. After `spillAfterMs`, or as soon as that cell
 * refuses, the next data centre's cell is asked too, and so on. The first
 * permit wins and the other requests are withdrawn. The search is refused only
 * when all cells have refused: a request must not be refused while another data
 * centre is idle.
 */
export class PermitSearch {
  private readonly startedAtMs: number;
  private readonly open = new Set<CandidateCell>();
  private next = 0;
  private lastRefusal: PermitRefusal | undefined;
  private isOver = false;
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
    const onAbort = () => {
      this.isOver = true;
      this.fail(abortError(signal));
    };
    try {
      return await new Promise<SearchResult>((resolve, reject) => {
        this.settle = resolve;
        this.fail = reject;
        if (signal.aborted) {
          onAbort();
          return;
        }
        signal.addEventListener('abort', onAbort, {once: true});
        this.requestNext();
      });
    } finally {
      signal.removeEventListener('abort', onAbort);
      clearTimeout(this.timer);
      this.withdrawOpen();
    }
  }

  private requestNext(): void {
    clearTimeout(this.timer);
    const {cells, clients, clock, spillAfterMs} = this.options;
    if (this.next >= cells.length) {
      this.refuseIfNoneIsOpen();
      return;
    }
    const candidate = cells[this.next];
    this.next += 1;
    this.open.add(candidate);
    const elapsedMs = clock() - this.startedAtMs;
    const remainingMs = Math.max(0, candidate.ask.remainingMs - elapsedMs);
    if (this.next < cells.length) {
      this.timer = setTimeout(() => this.requestNext(), spillAfterMs);
    }
    clients.ask({...candidate.ask, remainingMs}, result =>
      this.handleResult(candidate, result),
    );
  }

  private handleResult(candidate: CandidateCell, result: PermitResult): void {
    this.open.delete(candidate);
    if (result.kind === 'start') {
      if (this.isOver) {
        this.returnPermit(candidate, result.endpoint);
        return;
      }
      this.isOver = true;
      const found = {...candidate, endpointId: result.endpoint};
      this.settle({kind: 'found', found});
      return;
    }
    this.lastRefusal = earlierRetry(this.lastRefusal, result.refusal);
    this.requestNext();
  }

  /** The search has ended in the same turn of the event loop. */
  private returnPermit({cell, ask}: CandidateCell, endpoint: EndpointId): void {
    this.options.clients.release({
      attempt: ask.attempt,
      cell,
      endpoint,
      outcome: 'cancelled',
      outputTokens: 0,
      promptTokens: 0,
    });
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

/**
 * Returns the refusal with the shorter retry delay: the caller should come back
 * as soon as any of the cells may have room.
 */
function earlierRetry(
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
