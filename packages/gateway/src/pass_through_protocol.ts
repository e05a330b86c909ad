/** What callers and endpoints say in headers, in the product's own terms. */

import type {IncomingHttpHeaders} from 'node:http';
import type {ReportedLoad} from '@snipestage/routing/endpoint_monitor.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import type {Prompt} from '@snipestage/routing/prompt.js';
import type {
  ClientAccountId,
  EndpointId,
  RequestId,
} from '@snipestage/types/ids.js';

/** What a caller's headers say. */
export interface CallerRequest {
  readonly requestId: RequestId;
  /** How long the caller waits; undefined when it doesn't say. */
  readonly waitsForMs: number | undefined;
  readonly key: string | undefined;
  readonly prompt: Prompt | undefined;
  /** The caller continues a stream after this event. */
  readonly lastEventId: string | undefined;
}

/** What the system adds to a request for its endpoint. */
export interface ForwardedRequest {
  readonly endpoint: EndpointId;
  readonly clientAccount: ClientAccountId | undefined;
  readonly timeLeftMs: number;
  /** 0 is served first. */
  readonly urgencyRank: number;
  /** A stream goes on after this event. */
  readonly lastEventId: string | undefined;
  /** Whose cache may have the start of the prompt. */
  readonly cacheSource: EndpointAddress | undefined;
  readonly bodyBytes: number | undefined;
}

/** What an answer's head says. */
export interface AnswerHead {
  readonly status: number;
  /** The request that it answers, as the endpoint says. */
  readonly requestId: string | undefined;
  /** Carries the endpoint's proof that the answer is its own. */
  readonly isSigned: boolean;
  /** The endpoint says that it did not run the request. */
  readonly isNotRun: boolean;
  /** Another endpoint has the address now. */
  readonly isMisdirected: boolean;
  /** The body isn't the endpoint's bytes as they were. */
  readonly isEncoded: boolean;
  readonly load: ReportedLoad | undefined;
  /** Requests a second that it takes from all instances together, if limited. */
  readonly rateLimitPerS: number | undefined;
}

/** Header names and values as `name, value, name, value, ...`. */
export type FlatHeaders = readonly string[];

/** Translates headers at the boundary; decides nothing. */
export abstract class PassThroughProtocol {
  abstract readRequest(headers: IncomingHttpHeaders): CallerRequest;

  /** The caller's headers without hop-by-hop, secret and reserved ones. */
  abstract composeForwarded(
    rawHeaders: FlatHeaders,
    forwarded: ForwardedRequest,
  ): string[];

  abstract readAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead;

  /** The endpoint's headers without hop-by-hop ones. */
  abstract composeAnswer(rawHeaders: FlatHeaders): string[];

  /** Headers of a refusal that says when to come back. */
  abstract composeRetryAfter(retryAfterMs: number): Record<string, string>;
}
