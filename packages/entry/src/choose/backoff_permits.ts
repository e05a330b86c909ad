/** Withholds endpoints that have requested backoff. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {
  Endpoint,
  EndpointTarget,
} from '@snipestage/types/configuration.js';
import {brandAs, type AttemptId} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import {isSameTarget} from './cell_map.js';
import {
  Permits,
  type AttemptReport,
  type Permit,
  type PermitRequest,
} from './permits.js';

/** Options of {@link BackoffPermits}. */
export interface BackoffPermitsOptions {
  readonly permits: Permits;
  readonly listEndpoints: () => Iterable<Endpoint>;
  readonly clock: MonotonicClock;
}

/**
 * An endpoint that refuses an attempt may request backoff, and then gets nothing
 * from this instance until it is over. The request concerns this instance alone,
 * so the owners of cells, which decide for all instances, don't know of it.
 */
export class BackoffPermits extends Permits {
  /** End of the backoff by URL; an endpoint with another URL has restarted. */
  private readonly backoffUntilMs = new Map<string, number>();

  constructor(private readonly options: BackoffPermitsOptions) {
    super();
  }

  /**
   * @throws RequestError `no_endpoint` at once when all endpoints are in backoff,
   * with the time until the first is back.
   */
  async acquire(request: PermitRequest, signal: AbortSignal): Promise<Permit> {
    const {permits, clock} = this.options;
    const startedAtMs = clock();
    for (let round = 0; ; round += 1) {
      const permit = await permits.acquire(
        {
          ...request,
          attempt: nameRound(request.attempt, round),
          remainingMs: request.remainingMs - (clock() - startedAtMs),
          excluded: [
            ...request.excluded,
            ...this.listBackingOff(request.target),
          ],
        },
        signal,
      );
      // Its backoff may have begun while the request waited.
      if (this.backoffLeftMs(permit.endpoint) === 0)
        return this.observe(permit);
      permit.release({outcome: 'cancelled'});
    }
  }

  private listBackingOff(target: EndpointTarget): readonly Endpoint['id'][] {
    this.forgetEnded();
    if (this.backoffUntilMs.size === 0) return [];
    const serving = [...this.options.listEndpoints()].filter(
      each => isSameTarget(each.serves, target) && !each.leaving,
    );
    const lefts = serving.map(each => this.backoffLeftMs(each));
    const firstBackMs = Math.min(...lefts);
    if (serving.length > 0 && firstBackMs > 0) throw allBackingOff(firstBackMs);
    return serving.filter((_, index) => lefts[index] > 0).map(({id}) => id);
  }

  private backoffLeftMs({url}: Endpoint): number {
    const untilMs = this.backoffUntilMs.get(url) ?? Number.NEGATIVE_INFINITY;
    return Math.max(0, untilMs - this.options.clock());
  }

  private observe(permit: Permit): Permit {
    return {
      endpoint: permit.endpoint,
      mayStillSend: () => this.backoffLeftMs(permit.endpoint) === 0,
      progress: tokens => permit.progress(tokens),
      release: report => {
        this.noteBackoff(permit.endpoint, report);
        permit.release(report);
      },
    };
  }

  /** A shorter backoff doesn't end a longer one. */
  private noteBackoff({url}: Endpoint, {backoffMs}: AttemptReport): void {
    if (backoffMs === undefined) return;
    const before = this.backoffUntilMs.get(url) ?? Number.NEGATIVE_INFINITY;
    const untilMs = this.options.clock() + backoffMs;
    this.backoffUntilMs.set(url, Math.max(before, untilMs));
  }

  private forgetEnded(): void {
    const nowMs = this.options.clock();
    for (const [url, untilMs] of this.backoffUntilMs) {
      if (untilMs <= nowMs) this.backoffUntilMs.delete(url);
    }
  }
}

/** Owners match permits by attempt, so each round has an id of its own. */
function nameRound(attempt: AttemptId, round: number): AttemptId {
  return round === 0 ? attempt : brandAs<AttemptId>(`${attempt}+${round}`);
}

function allBackingOff(firstBackMs: number): RequestError {
  return new RequestError('All endpoints have requested backoff.', {
    code: 'no_endpoint',
    verdict: 'not_run',
    retryAfterMs: firstBackMs,
  });
}
