/** Contents of callers' and endpoints' headers, in this system's own terms. */

import type {IncomingHttpHeaders} from 'node:http';
import type {ReportedLoad} from '@snipestage/routing/endpoint_monitor.js';
import type {Service} from '@snipestage/routing/route.js';
import type {
  EndpointAddress,
  ServingEndpoint,
} from '@snipestage/routing/serving_endpoint.js';
import type {StatedIdentity} from '@snipestage/routing/endpoint_identity.js';
import type {Prompt} from '@snipestage/routing/prompt.js';
import type {
  Branded,
  ClientAccountId,
  EndpointId,
  RequestId,
} from '@snipestage/types/ids.js';

/** Contents of the headers of a caller's request. */
export interface CallerRequest {
  readonly requestId: RequestId;
  /** The caller's timeout; undefined when it states none. */
  readonly callerTimeoutMs: number | undefined;
  readonly key: string | undefined;
  readonly prompt: Prompt | undefined;
  /** The caller resumes a stream after this event. */
  readonly lastEventId: string | undefined;
  /** The caller's attempt that brought the first event of that stream. */
  readonly resumes: RequestId | undefined;
}

/** Data for the headers that are added to a request for its endpoint. */
export interface ForwardedRequest {
  readonly endpoint: EndpointId;
  readonly clientAccount: ClientAccountId | undefined;
  readonly timeLeftMs: number;
  /** 0 is served first. */
  readonly urgencyRank: number;
  /** A stream is resumed after this event. */
  readonly lastEventId: string | undefined;
  /** Another endpoint whose cache may have the start of the prompt. */
  readonly cacheSource: EndpointAddress | undefined;
  readonly bodyBytes: number | undefined;
  /** A stopped run is continued from the copy of its memory (none). */
  readonly copiedMemory?: CopiedMemory;
}

/** Identifies the copy of a request's memory at the engine that made it. */
export type MemoryHandle = Branded<string, 'MemoryHandle'>;

/** Memory of a request that was copied or is kept for its continuation. */
export interface CopiedMemory {
  /** The engine that ran the request. */
  readonly source: EndpointAddress;
  readonly handle: MemoryHandle;
}

/** Asks an engine to copy the memory of a request that it runs. */
export interface MemoryCopyRequest {
  readonly requestId: RequestId;
  readonly source: ServingEndpoint;
  readonly target: ServingEndpoint;
  /** The engine stops the run first; it can then go on from the copy only. */
  readonly isFinal: boolean;
}

/** What an engine answers to a {@link MemoryCopyRequest}. */
export type MemoryCopyAnswer =
  | {readonly kind: 'copied'; readonly handle: MemoryHandle}
  /** Nothing was copied; with a handle, the run has stopped at its engine. */
  | {readonly kind: 'no_room'; readonly handle: MemoryHandle | undefined}
  /** It doesn't run the request. */
  | {readonly kind: 'no_run'}
  /** Another copy of the same request is in progress. */
  | {readonly kind: 'busy'}
  /** Another endpoint has the address now. */
  | {readonly kind: 'misdirected'}
  /** Nothing that is known: what the engine did isn't known either. */
  | {readonly kind: 'unreadable'};

/** A call of an engine that is no caller's request. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly headers: FlatHeaders;
  readonly body: Buffer | undefined;
}

/** Status of an answer and contents of its headers. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the request that is answered, as stated by the endpoint. */
  readonly requestId: string | undefined;
  /** Whether it carries the endpoint's proof that the answer is its own. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another endpoint has the address now. */
  readonly isMisdirected: boolean;
  /** Whether the body is encoded, so that it isn't the endpoint's own bytes. */
  readonly isEncoded: boolean;
  readonly load: ReportedLoad | undefined;
  /** Whether it states a work time that can't be right (false). */
  readonly hasInvalidWorkTime?: boolean;
  /**
   * Requests a second that it accepts from all instances together, if limited.
   */
  readonly rateLimitPerS: number | undefined;
  /**
   * Requests a second, of all instances together, that it can reject for want of
   * room without falling over, if it says so.
   */
  readonly maxRejectionsPerS: number | undefined;
  /** Whether the endpoint states that it is about to stop. */
  readonly isLeaving: boolean;
  /**
   * Time for which the endpoint wants no requests from this instance; undefined
   * unless it refused the request and said so.
   */
  readonly backoffMs: number | undefined;
}

/** Header names and values as `name, value, name, value, ...`. */
export type FlatHeaders = readonly string[];

/** A GET request that asks an endpoint which one it is. */
export interface IdentityRequest {
  readonly path: string;
  readonly headers: FlatHeaders;
}

/** The answer to an {@link IdentityRequest}. */
export interface IdentityAnswer {
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Translates headers at the boundary; makes no decisions. */
export abstract class PassThroughProtocol {
  abstract readRequest(headers: IncomingHttpHeaders): CallerRequest;

  /**
   * The caller's headers without hop-by-hop, secret and reserved ones, plus the
   * headers that carry `forwarded`.
   */
  abstract composeForwarded(
    rawHeaders: FlatHeaders,
    forwarded: ForwardedRequest,
  ): string[];

  abstract readAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead;

  /** Undefined where endpoints of the service can't be asked. */
  abstract composeIdentityRequest(
    service: Service,
    endpoint: ServingEndpoint,
  ): IdentityRequest | undefined;

  abstract readIdentity(answer: IdentityAnswer): StatedIdentity;

  abstract composeMemoryCopy(request: MemoryCopyRequest): EngineCall;

  abstract readMemoryCopy(status: number, body: Buffer): MemoryCopyAnswer;

  /** Frees a copy of memory at both engines. */
  abstract composeRelease(
    source: ServingEndpoint,
    handle: MemoryHandle,
  ): EngineCall;

  /** The endpoint's headers without hop-by-hop ones. */
  abstract composeAnswer(rawHeaders: FlatHeaders): string[];

  /** Headers that tell a refused caller when to retry. */
  abstract composeRetryAfter(retryAfterMs: number): Record<string, string>;
}
