/** Draws what callers ask for. */

import {randomInt} from 'd3-random';
import {
  digest,
  STREAM_DURATION_PARAMETER,
} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {Route} from '@snipestage/routing/route.js';
import type {SentRequest} from '../history.js';
import type {Instance} from './instance.js';
import {HOST, markerPath, ROUTES, type Operator} from './operator.js';

/** What a {@link RequestDraw} is made from. */
export interface RequestDrawOptions {
  readonly seed: number;
  readonly source: () => number;
  readonly operator: Operator;
  readonly nowMs: () => number;
}

/** A request and what is sent with it. */
export interface DrawnRequest {
  readonly request: SentRequest;
  readonly body: string;
  readonly promptTokens: number | undefined;
  /** Its answer goes on for seconds. */
  readonly isLong: boolean;
  /** The caller hangs up so long after its send. */
  readonly leavesAfterMs: number | undefined;
}

const MARKER_SHARE = 0.1;
const LEAVING_SHARE = 0.1;
/** Some wait for longer than an instance that stops may go on. */
const PATIENCES_MS = [1500, 2500, 9000] as const;
const [, , LONGEST_PATIENCE_MS] = PATIENCES_MS;
const BODY_CHARACTERS = 600;
const PROMPT_TOKENS = [400, 1500, 6000] as const;
/** Of the streams: some on each instance, to keep it alive while it stops. */
const LONG_STREAM_SHARE = 0.25;
const SHORTEST_LONG_STREAM_MS = 3000;
/** Begun by the time the balancer notices a stop, it ends within the grace. */
const LONGEST_LONG_STREAM_MS = 5000;

/** Numbers the requests of a run. */
export class RequestDraw {
  private drawn = 0;

  constructor(private readonly options: RequestDrawOptions) {}

  /**
   * @example
   * const {request, body} = draw.drawFor(caller.instance);
   */
  drawFor(instance: Instance): DrawnRequest {
    const {operator, source} = this.options;
    if (operator.markerCount > 0 && source() < MARKER_SHARE) {
      return this.drawMarker(instance);
    }
    const route = this.pick(ROUTES);
    const isLong = route.kind === 'stream' && source() < LONG_STREAM_SHARE;
    const drawn = isLong
      ? this.drawLongStream(instance, route)
      : this.drawShort(instance, route);
    if (source() >= LEAVING_SHARE) return drawn;
    // More leave soon than late: before another endpoint is asked for them.
    const shareOfWait = source() * source();
    const leavesAfterMs = shareOfWait * drawn.request.callerTimeoutMs;
    return {...drawn, leavesAfterMs};
  }

  /** A stream of some seconds, whose caller waits until its end. */
  drawLongStream(
    instance: Instance,
    route: Route = this.pick(ROUTES.filter(({kind}) => kind === 'stream')),
  ): DrawnRequest {
    const {source} = this.options;
    const range = LONGEST_LONG_STREAM_MS - SHORTEST_LONG_STREAM_MS;
    const lastsMs = Math.round(SHORTEST_LONG_STREAM_MS + source() * range);
    const query = `&${STREAM_DURATION_PARAMETER}=${lastsMs}`;
    const drawn = this.compose(instance, route, query, LONGEST_PATIENCE_MS);
    return {...drawn, isLong: true};
  }

  private drawShort(instance: Instance, route: Route): DrawnRequest {
    return this.compose(instance, route, '', this.pick(PATIENCES_MS));
  }

  private drawMarker(instance: Instance): DrawnRequest {
    const {operator, source} = this.options;
    const marker = 1 + randomInt.source(source)(operator.markerCount)();
    const [look] = ROUTES.filter(({kind}) => kind === 'idempotent');
    const route = {...look, pathPrefix: markerPath(marker)};
    const drawn = this.drawShort(instance, route);
    return {...drawn, request: {...drawn.request, marker}};
  }

  private compose(
    instance: Instance,
    route: Route,
    query: string,
    callerTimeoutMs: number,
  ): DrawnRequest {
    const {operator, nowMs, seed} = this.options;
    const body = route.kind === 'idempotent' ? '' : this.drawBody();
    this.drawn += 1;
    const request: SentRequest = {
      requestId: `r${seed}-${this.drawn}`,
      instance: instance.id,
      life: instance.life,
      kind: route.kind,
      isResumable: route.isResumable,
      maxAttempts: route.maxAttempts,
      path: `${route.pathPrefix}${this.drawn}?host=${HOST}${query}`,
      bodyDigest: digest(body),
      ...this.pick(operator.keys),
      marker: undefined,
      callerTimeoutMs,
      sentAtMs: nowMs(),
    };
    const isStream = route.kind === 'stream';
    const promptTokens = isStream ? this.pick(PROMPT_TOKENS) : undefined;
    return {
      request,
      body,
      promptTokens,
      isLong: false,
      leavesAfterMs: undefined,
    };
  }

  private drawBody(): string {
    const {source} = this.options;
    const length = Math.ceil(source() * BODY_CHARACTERS);
    return source().toString(36).padEnd(length, 'x');
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.options.source() * items.length)];
  }
}
