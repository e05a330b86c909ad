/** Draws the requests of callers. */

import {randomInt} from 'd3-random';
import {
  CRASH_PARAMETER,
  digest,
} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import {UPLOAD_PARAMETER} from '@snipestage/platform_stand_ins/early_answers.js';
import {STREAM_DURATION_PARAMETER} from '@snipestage/platform_stand_ins/stream_text.js';
import type {Route} from '@snipestage/routing/route.js';
import type {TakenUpStream} from '@snipestage/platform_stand_ins/caller_headers.js';
import type {SentRequest} from '../history.js';
import type {Instance} from './instance.js';
import {HOST, markerPath, ROUTES, type Operator} from './operator.js';

/** Options of {@link RequestDraw}. */
export interface RequestDrawOptions {
  readonly seed: number;
  readonly source: () => number;
  readonly operator: Operator;
  readonly nowMs: () => number;
}

/** A request, what is sent with it, and when its caller hangs up. */
export interface DrawnRequest {
  readonly request: SentRequest;
  readonly body: string | Buffer;
  readonly promptTokens: number | undefined;
  /** Its answer is a stream of several seconds. */
  readonly isLong: boolean;
  /** The caller hangs up after this time; undefined when it waits. */
  readonly hangsUpAfterMs: number | undefined;
}

const MARKER_SHARE = 0.1;
const HANG_UP_SHARE = 0.1;
/** The longest exceeds the grace time of a stopping instance. */
const CALLER_TIMEOUTS_MS = [1500, 2500, 9000] as const;
const [, , LONGEST_CALLER_TIMEOUT_MS] = CALLER_TIMEOUTS_MS;
const MAX_BODY_CHARACTERS = 600;
/** With less time left a caller gives up. */
const MIN_TAKE_UP_MS = 300;
const REFUSED = 503;
const PROMPT_TOKEN_COUNTS = [400, 1500, 6000] as const;
/**
 * Of the streams: each instance has some, which keep it running while it stops.
 */
const LONG_STREAM_SHARE = 0.25;
const SHORTEST_LONG_STREAM_MS = 3000;
/**
 * Started before the balancer notices a stop, it ends within the grace time.
 */
const LONGEST_LONG_STREAM_MS = 5000;
const LATE_STREAM_MS = 7000;
/** More than the system's buffers on the way to an endpoint take. */
const UPLOAD = Buffer.alloc(16_000_000, 'x');
const UPLOAD_DIGEST = digest(UPLOAD);

/** First part of all prompts, and the number of the parts that follow it. */
const FIRST_PART = 'system';
const TOPICS = 4;

/** Draws and numbers the requests of a run. */
export class RequestDraw {
  /** Whether prompts are sent with their parts. */
  sendsParts = false;
  private drawnCount = 0;

  constructor(private readonly options: RequestDrawOptions) {}

  /**
   * Draws a request to an instance.
   *
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
    if (source() >= HANG_UP_SHARE) return drawn;
    // The square of the range 0 to 1 favours small values: early hang-ups, before
    // another endpoint is tried, are more frequent than late ones.
    const shareOfWait = source() * source();
    const hangsUpAfterMs = shareOfWait * drawn.request.callerTimeoutMs;
    return {...drawn, hangsUpAfterMs};
  }

  /** Draws a stream of several seconds, within the timeout of its caller. */
  drawLongStream(
    instance: Instance,
    route: Route = this.pick(ROUTES.filter(({kind}) => kind === 'stream')),
  ): DrawnRequest {
    const {source} = this.options;
    const range = LONGEST_LONG_STREAM_MS - SHORTEST_LONG_STREAM_MS;
    const lastsMs = Math.round(SHORTEST_LONG_STREAM_MS + source() * range);
    const query = `&${STREAM_DURATION_PARAMETER}=${lastsMs}`;
    const drawn = this.compose(
      instance,
      route,
      query,
      LONGEST_CALLER_TIMEOUT_MS,
    );
    return {...drawn, isLong: true};
  }

  /** Draws a stream that takes nearly all of the grace time of a stop. */
  drawLateStream(instance: Instance): DrawnRequest {
    const route = this.pick(ROUTES.filter(({kind}) => kind === 'stream'));
    const query = `&${STREAM_DURATION_PARAMETER}=${LATE_STREAM_MS}`;
    const timeoutMs = LONGEST_CALLER_TIMEOUT_MS;
    const drawn = this.compose(instance, route, query, timeoutMs);
    return {...drawn, isLong: true};
  }

  /** Draws a request with a large body. */
  drawUpload(instance: Instance): DrawnRequest {
    const route = this.pick(
      ROUTES.filter(({kind}) => kind === 'non_idempotent'),
    );
    const query = `&${UPLOAD_PARAMETER}=${UPLOAD_DIGEST}`;
    const timeoutMs = LONGEST_CALLER_TIMEOUT_MS;
    const drawn = this.compose(instance, route, query, timeoutMs);
    const request = {...drawn.request, bodyDigest: UPLOAD_DIGEST};
    return {...drawn, request, body: UPLOAD};
  }

  /** Draws a request that crashes each endpoint that runs it. */
  drawCrashing(instance: Instance): DrawnRequest {
    const query = `&${CRASH_PARAMETER}=1`;
    const timeoutMs = this.pick(CALLER_TIMEOUTS_MS);
    return this.compose(instance, this.pick(ROUTES), query, timeoutMs);
  }

  /** Draws a prompt with a part that crashes each engine that begins it. */
  drawCrashingPart(instance: Instance, part: string): DrawnRequest {
    const query = `&${CRASH_PARAMETER}=1`;
    const [route] = ROUTES.filter(({kind}) => kind === 'stream');
    const timeoutMs = this.pick(CALLER_TIMEOUTS_MS);
    const drawn = this.compose(instance, route, query, timeoutMs);
    const sharedParts = [...(drawn.request.sharedParts ?? []), part];
    return {...drawn, request: {...drawn.request, sharedParts}};
  }

  /** The same request, sent again to an instance. */
  repeat(drawn: DrawnRequest, instance: Instance): DrawnRequest {
    this.drawnCount += 1;
    const request: SentRequest = {
      ...drawn.request,
      requestId: `r${this.options.seed}-${this.drawnCount}`,
      instance: instance.id,
      processNumber: instance.processNumber,
      sentAtMs: this.options.nowMs(),
    };
    return {...drawn, request};
  }

  /**
   * The next try of a caller whose stream was broken off, or whose last try was
   * refused; undefined when there is nothing to take up or no time left.
   */
  takeUp(drawn: DrawnRequest, instance: Instance): DrawnRequest | undefined {
    const {request} = drawn;
    const stream = findStream(request);
    const elapsedMs = this.options.nowMs() - request.sentAtMs;
    const callerTimeoutMs = Math.round(request.callerTimeoutMs - elapsedMs);
    if (stream === undefined || callerTimeoutMs < MIN_TAKE_UP_MS) {
      return undefined;
    }
    const next = this.repeat(drawn, instance).request;
    return {
      ...drawn,
      hangsUpAfterMs: undefined,
      request: {
        ...next,
        callerTimeoutMs,
        takesUp: stream,
        outcome: undefined,
        endedAtMs: undefined,
        events: undefined,
      },
    };
  }

  private drawShort(instance: Instance, route: Route): DrawnRequest {
    return this.compose(instance, route, '', this.pick(CALLER_TIMEOUTS_MS));
  }

  private drawMarker(instance: Instance): DrawnRequest {
    const {operator, source} = this.options;
    const marker = 1 + randomInt.source(source)(operator.markerCount)();
    const [lookUpRoute] = ROUTES.filter(({kind}) => kind === 'idempotent');
    const route = {...lookUpRoute, pathPrefix: markerPath(marker)};
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
    const isStream = route.kind === 'stream';
    this.drawnCount += 1;
    const request: SentRequest = {
      requestId: `r${seed}-${this.drawnCount}`,
      instance: instance.id,
      processNumber: instance.processNumber,
      kind: route.kind,
      isResumable: route.isResumable,
      maxAttempts: route.maxAttempts,
      path: `${route.pathPrefix}${this.drawnCount}?host=${HOST}${query}`,
      bodyDigest: digest(body),
      ...this.pick(operator.keys),
      marker: undefined,
      callerTimeoutMs,
      ...(isStream && this.sendsParts
        ? {sharedParts: [FIRST_PART, `topic-${this.drawnCount % TOPICS}`]}
        : {}),
      sentAtMs: nowMs(),
    };
    const promptTokens = isStream ? this.pick(PROMPT_TOKEN_COUNTS) : undefined;
    return {
      request,
      body,
      promptTokens,
      isLong: false,
      hangsUpAfterMs: undefined,
    };
  }

  private drawBody(): string {
    const {source} = this.options;
    const length = Math.ceil(source() * MAX_BODY_CHARACTERS);
    return source().toString(36).padEnd(length, 'x');
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.options.source() * items.length)];
  }
}

/** Whether a caller may take up a stream after this attempt. */
export function mayTakeUp(request: SentRequest): boolean {
  return findStream(request) !== undefined;
}

/** The stream that a caller may take up after this attempt. */
function findStream(request: SentRequest): TakenUpStream | undefined {
  const {outcome, events, takesUp, isResumable, requestId} = request;
  const mayTakeUp =
    outcome?.kind === 'broken' ||
    (outcome?.kind === 'answered' && outcome.status === REFUSED);
  if (!isResumable || !mayTakeUp) return undefined;
  const lastEventId = events?.lastId || (takesUp?.lastEventId ?? 0);
  if (lastEventId === 0) return undefined;
  return {firstAttempt: takesUp?.firstAttempt ?? requestId, lastEventId};
}
