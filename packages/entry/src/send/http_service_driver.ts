/** Calls plain services over HTTP. */

import type {ClientRequest, IncomingMessage} from 'node:http';
import {
  classifyAnswerEnd,
  framingOf,
  isPartialDocument,
  isWholeEnd,
} from '@snipestage/connection/answer_end.js';
import {isFinalStatus} from '@snipestage/connection/answer_head.js';
import {MAX_ANSWER_BYTES} from '@snipestage/connection/answer_limits.js';
import {closesCleanly} from '@snipestage/connection/closes_cleanly.js';
import type {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import {acceptsConnections} from '@snipestage/connection/reachability.js';
import {got, type Method, type Response} from 'got';
import {EndpointError} from './endpoint_error.js';
import {forwardedResponseHeaders} from './forwarded_headers.js';
import {openEndpoint} from './open_endpoint.js';
import {readRetryAfterMs} from './read_retry_after.js';
import {
  ServiceDriver,
  type ServiceAnswer,
  type ServiceCall,
} from './service_driver.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;

/** Options of {@link HttpServiceDriver}. */
export interface HttpServiceDriverOptions {
  readonly connectTimeoutMs?: number;
}

/** Sends each call once, on a new connection, with the retries of `got` off. */
export class HttpServiceDriver extends ServiceDriver {
  private readonly connectTimeoutMs: number;

  constructor(options: HttpServiceDriverOptions = {}) {
    super();
    this.connectTimeoutMs =
      options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
  }

  async call(call: ServiceCall): Promise<ServiceAnswer> {
    const connection = await openEndpoint({
      url: call.url,
      connectTimeoutMs: this.connectTimeoutMs,
      signal: call.signal,
      mayStillSend: call.mayStillSend,
    });
    const timeout = AbortSignal.timeout(call.timeoutMs);
    timeout.addEventListener('abort', () => connection.reset());
    try {
      const closedCleanly = closesCleanly(connection.createConnection());
      const {response, isRequestSent} = await send(call, connection);
      checkStatus(response);
      checkEcho(response, call);
      await checkEnd(response, call, {closedCleanly, isRequestSent});
      return {
        status: response.statusCode,
        headers: forwardedResponseHeaders(response.headers),
        body: response.rawBody,
        backoffMs: readRetryAfterMs(
          response.statusCode,
          response.headers['retry-after'],
        ),
      };
    } catch (error) {
      throw errorOf(error, call, connection, timeout);
    } finally {
      connection.reset();
    }
  }
}

/** An answer that was read up to its end. */
interface SentCall {
  readonly response: Response<Buffer>;
  /** Whether the request had been written by then. */
  readonly isRequestSent: boolean;
}

async function send(
  call: ServiceCall,
  connection: FreshConnection,
): Promise<SentCall> {
  const answer = got(new URL(call.path, call.url), {
    method: call.method as Method,
    headers: {...call.headers, 'x-request-id': call.attempt},
    body: call.body.length > 0 ? call.body : undefined,
    allowGetBody: true,
    createConnection: connection.createConnection,
    responseType: 'buffer',
    retry: {limit: 0},
    followRedirect: false,
    throwHttpErrors: false,
    decompress: false,
  });
  void answer.on('downloadProgress', ({transferred}) => {
    if (transferred > MAX_ANSWER_BYTES) answer.cancel();
  });
  let isRequestSent = false;
  void answer.on('request', (request: ClientRequest) => {
    request.once('response', (response: IncomingMessage) => {
      const noteEnd = () => (isRequestSent = request.writableFinished);
      response.once('end', noteEnd);
    });
  });
  try {
    return {response: await answer, isRequestSent};
  } catch (error) {
    if (!answer.isCanceled) throw error;
    throw new EndpointError('The answer is too long.', {
      kind: 'broken',
      verdict: 'may_have_run',
      cause: error,
    });
  }
}

/** Rejects a status that no answer can have (RFC 9110, section 15). */
function checkStatus({statusCode}: Response<Buffer>): void {
  if (isFinalStatus(statusCode)) return;
  throw new EndpointError(`The answer has the status ${statusCode}.`, {
    kind: 'broken',
    verdict: 'may_have_run',
  });
}

/**
 * Rejects an answer that echoes the id of another request. Services need not
 * echo the id.
 */
function checkEcho(response: Response<Buffer>, call: ServiceCall): void {
  const echoed = response.headers['x-request-id'];
  if (echoed === undefined || echoed === call.attempt) return;
  throw new EndpointError('The answer is to another request.', {
    kind: 'mismatched',
    verdict: 'may_have_run',
  });
}

/**
 * Rejects an answer that isn't whole. One with neither length nor chunks ends
 * with its connection: it is whole only if that was closed and the service still
 * accepts connections.
 */
async function checkEnd(
  response: Response<Buffer>,
  call: ServiceCall,
  connection: {
    readonly closedCleanly: Promise<boolean>;
    readonly isRequestSent: boolean;
  },
): Promise<void> {
  const {headers, complete, rawBody} = response;
  const framing = framingOf(headers);
  const isPartial = isPartialDocument(headers['content-type'], rawBody);
  const end = classifyAnswerEnd({
    framing,
    isFramingComplete: complete,
    hasClosedCleanly: framing === 'close' && (await connection.closedCleanly),
    isRequestSent: connection.isRequestSent,
    content: {kind: 'document', isPartial},
  });
  const {hostname: host, port} = new URL(call.url);
  const isGone =
    end === 'closed' && !(await acceptsConnections({host, port: Number(port)}));
  if (isWholeEnd(end) && !isGone) return;
  throw new EndpointError(
    `The answer is incomplete: ${isGone ? 'endpoint_gone' : end}.`,
    {kind: 'broken', verdict: 'may_have_run'},
  );
}

function errorOf(
  error: unknown,
  call: ServiceCall,
  connection: FreshConnection,
  timeout: AbortSignal,
): EndpointError {
  if (error instanceof EndpointError) return error;
  const {verdict} = connection;
  const message = error instanceof Error ? error.message : String(error);
  if (call.signal.aborted) {
    return new EndpointError('Cancelled.', {kind: 'cancelled', verdict});
  }
  const kind = timeout.aborted ? 'silent' : 'broken';
  return new EndpointError(message, {kind, verdict, cause: error});
}
