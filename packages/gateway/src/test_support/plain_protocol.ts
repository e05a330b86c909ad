/** A protocol with few headers, for tests. */

import type {IncomingHttpHeaders} from 'node:http';
import type {StatedIdentity} from '@snipestage/routing/endpoint_identity.js';
import type {Prompt} from '@snipestage/routing/prompt.js';
import type {Service} from '@snipestage/routing/route.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type EndpointId,
  type PromptPartId,
  type RequestId,
} from '@snipestage/types/ids.js';
import {
  PassThroughProtocol,
  type AnswerHead,
  type CallerRequest,
  type EngineCall,
  type FlatHeaders,
  type ForwardedRequest,
  type IdentityAnswer,
  type IdentityRequest,
  type MemoryCopyAnswer,
  type MemoryCopyRequest,
  type MemoryHandle,
} from '../pass_through_protocol.js';

export class PlainProtocol extends PassThroughProtocol {
  readRequest(headers: IncomingHttpHeaders): CallerRequest {
    const waits = headers['x-waits-ms'];
    return {
      requestId: brandAs<RequestId>(String(headers['x-request-id'] ?? '')),
      callerTimeoutMs: waits === undefined ? undefined : Number(waits),
      key: headers['x-key'] as string | undefined,
      prompt: readPrompt(headers['x-parts'], headers['x-output']),
      lastEventId: headers['last-event-id'] as string | undefined,
      resumes: headers['x-continues'] as RequestId | undefined,
    };
  }

  composeForwarded(
    rawHeaders: FlatHeaders,
    forwarded: ForwardedRequest,
  ): string[] {
    const id = rawHeaders.findIndex(
      (name, index) => index % 2 === 0 && name.toLowerCase() === 'x-request-id',
    );
    const headers = ['X-Request-Id', rawHeaders[id + 1], 'Host', 'test'];
    headers.push('X-Time-Left-Ms', String(forwarded.timeLeftMs));
    const parts = rawHeaders.findIndex(
      (name, index) => index % 2 === 0 && name.toLowerCase() === 'x-parts',
    );
    if (parts >= 0) headers.push('X-Parts', rawHeaders[parts + 1]);
    if (forwarded.lastEventId !== undefined) {
      headers.push('Last-Event-Id', forwarded.lastEventId);
    }
    if (forwarded.copiedMemory !== undefined) {
      const {source, handle} = forwarded.copiedMemory;
      headers.push('X-Memory', `${source}/${handle}`);
    }
    if (forwarded.bodyBytes !== undefined) {
      headers.push('Content-Length', String(forwarded.bodyBytes));
    }
    return headers;
  }

  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead {
    return {
      status,
      requestId: headers['x-request-id'] as string | undefined,
      isSigned: headers['x-signature'] !== undefined,
      isNotRun: headers['x-not-run'] !== undefined,
      isMisdirected: status === 421,
      isEncoded: headers['content-encoding'] !== undefined,
      load: undefined,
      rateLimitPerS:
        headers['x-limit'] === undefined
          ? undefined
          : Number(headers['x-limit']),
      maxRejectionsPerS:
        headers['x-brittle'] === undefined
          ? undefined
          : Number(headers['x-brittle']),
      isLeaving: headers['x-leaving'] !== undefined,
      backoffMs:
        headers['x-retry-after-ms'] === undefined
          ? undefined
          : Number(headers['x-retry-after-ms']),
    };
  }

  composeIdentityRequest({healthPath}: Service): IdentityRequest | undefined {
    if (healthPath === undefined) return undefined;
    return {path: healthPath, headers: ['Host', 'test']};
  }

  readIdentity({headers}: IdentityAnswer): StatedIdentity {
    const id = headers['x-endpoint'];
    const born = headers['x-born'];
    return {
      id: id === undefined ? undefined : brandAs<EndpointId>(String(id)),
      bornEpochMs: born === undefined ? undefined : Number(born),
    };
  }

  /** The path holds the request's id, the target's address and the kind. */
  composeMemoryCopy({
    requestId,
    target,
    isFinal,
  }: MemoryCopyRequest): EngineCall {
    const kind = isFinal ? 'final' : 'early';
    return {
      method: 'POST',
      path: `/copy/${requestId}/${target.address}/${kind}`,
      headers: ['Host', 'test', 'Content-Length', '0'],
      body: undefined,
    };
  }

  /** The body is the handle. */
  readMemoryCopy(status: number, body: Buffer): MemoryCopyAnswer {
    const text = body.toString();
    const handle = text === '' ? undefined : brandAs<MemoryHandle>(text);
    if (status === 404) return {kind: 'no_run'};
    if (status === 409) return {kind: 'busy'};
    if (status === 421) return {kind: 'misdirected'};
    if (status === 503) return {kind: 'no_room', handle};
    if (status !== 200 || handle === undefined) return {kind: 'unreadable'};
    return {kind: 'copied', handle};
  }

  composeRelease(_source: ServingEndpoint, handle: MemoryHandle): EngineCall {
    const headers = ['Host', 'test'];
    return {
      method: 'DELETE',
      path: `/copy/${handle}`,
      headers,
      body: undefined,
    };
  }

  composeAnswer(rawHeaders: FlatHeaders): string[] {
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
      const name = rawHeaders[index].toLowerCase();
      const isFraming =
        name === 'content-length' ||
        name === 'transfer-encoding' ||
        name === 'connection';
      if (!isFraming) kept.push(rawHeaders[index], rawHeaders[index + 1]);
    }
    return kept;
  }

  composeRetryAfter(retryAfterMs: number): Record<string, string> {
    return {'Retry-After': String(retryAfterMs / 1000)};
  }
}

/**
 * @param header ids of parts, separated by commas.
 * @param output expected tokens of the answer (not known).
 */
function readPrompt(
  header: string | string[] | undefined,
  output: string | string[] | undefined,
): Prompt | undefined {
  if (typeof header !== 'string') return undefined;
  const parts = header
    .split(',')
    .map(id => ({id: brandAs<PromptPartId>(id), tokens: 100}));
  return {
    tokens: 100 * parts.length,
    maxOutputTokens: output === undefined ? 10 : 2 * Number(output),
    expectedOutputTokens: output === undefined ? undefined : Number(output),
    parts,
  };
}
