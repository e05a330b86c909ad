/** Withholds endpoints that have asked for rest. */

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

/** Options of {@link RestingPermits}. */
export interface RestingPermitsOptions {
  readonly permits: Permits;
  readonly listEndpoints: () => Iterable<Endpoint>;
  readonly clock: MonotonicClock;
}

/**
 * An endpoint that refuses an attempt may ask for rest. It then gets nothing
 * from this instance until the rest is over: other instances may not have been
 * asked, so that owners of cells don't know of it.
 */
export class RestingPermits extends Permits {
  /** End of the rest by the endpoint's URL, which is new with each start. */
  private readonly restUntilMs = new Map<string, number>();

  constructor(private readonly options: RestingPermitsOptions) {
    super();
  }

  /**
   * @throws RequestError `no_endpoint` at once when all endpoints rest, with the
   * time until the first is back.
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
          excluded: [...request.excluded, ...this.listResting(request.target)],
        },
        signal,
      );
      // Its rest may have begun while the request waited.
      if (this.restLeftMs(permit.endpoint) === 0) return this.observe(permit);
      permit.release({outcome: 'cancelled'});
    }
  }

  private listResting(target: EndpointTarget): readonly Endpoint['id'][] {
    this.forgetEnded();
    if (this.restUntilMs.size === 0) return [];
    const serving = [...this.options.listEndpoints()].filter(
      each => isSameTarget(each.serves, target) && !each.leaving,
    );
    const lefts = serving.map(each => this.restLeftMs(each));
    const firstBackMs = Math.min(...lefts);
    if (serving.length > 0 && firstBackMs > 0) throw allResting(firstBackMs);
    return serving.filter((_, index) => lefts[index] > 0).map(({id}) => id);
  }

  private restLeftMs({url}: Endpoint): number {
    const untilMs = this.restUntilMs.get(url) ?? Number.NEGATIVE_INFINITY;
    return Math.max(0, untilMs - this.options.clock());
  }

  private observe(permit: Permit): Permit {
    return {
      endpoint: permit.endpoint,
      progress: tokens => permit.progress(tokens),
      release: report => {
        this.noteRest(permit.endpoint, report);
        permit.release(report);
      },
    };
  }

  /** A shorter rest doesn't end a longer one: refusals may overtake others. */
  private noteRest({url}: Endpoint, {restMs}: AttemptReport): void {
    if (restMs === undefined) return;
    const before = this.restUntilMs.get(url) ?? Number.NEGATIVE_INFINITY;
    const untilMs = this.options.clock() + restMs;
    this.restUntilMs.set(url, Math.max(before, untilMs));
  }

  private forgetEnded(): void {
    const nowMs = this.options.clock();
    for (const [url, untilMs] of this.restUntilMs) {
      if (untilMs <= nowMs) this.restUntilMs.delete(url);
    }
  }
}

/** Owners match permits by attempt, so each round has an id of its own. */
function nameRound(attempt: AttemptId, round: number): AttemptId {
  return round === 0 ? attempt : brandAs<AttemptId>(`${attempt}+${round}`);
}

function allResting(firstBackMs: number): RequestError {
  return new RequestError('All endpoints have asked for rest.', {
    code: 'no_endpoint',
    verdict: 'not_run',
    retryAfterMs: firstBackMs,
  });
}
