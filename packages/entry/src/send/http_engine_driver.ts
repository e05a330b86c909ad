/**
 * Driver for OpenAI-compatible engines, as docs/INTERFACES.md describes them.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import type {AttemptId} from '@snipestage/types/ids.js';
import {got, type Request} from 'got';
import {EndpointError} from './endpoint_error.js';
import {
  EngineDriver,
  type EngineCall,
  type EngineListener,
} from './engine_driver.js';
import {EventReader} from './event_reader.js';
import {openEndpoint} from './open_endpoint.js';
import {readRetryAfterMs} from './read_retry_after.js';
import {SilenceTimer} from './silence_timer.js';

const ENDED_EARLY = 'The stream ended before its end mark.';
const OK = 200;
const CLIENT_ERROR = 400;
const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const CANCEL_TIMEOUT_MS = 1000;

/** Options of {@link HttpEngineDriver}. */
export interface HttpEngineDriverOptions {
  readonly connectTimeoutMs?: number;
}

/** Opens a new connection for every attempt; see `FreshConnection`. */
export class HttpEngineDriver extends EngineDriver {
  private readonly connectTimeoutMs: number;

  constructor(options: HttpEngineDriverOptions = {}) {
    super();
    this.connectTimeoutMs =
      options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
  }

  async run(call: EngineCall, listener: EngineListener): Promise<void> {
    const connection = await openEndpoint({
      url: call.url,
      connectTimeoutMs: this.connectTimeoutMs,
      signal: call.signal,
      mayStillSend: call.mayStillSend,
    });
    const silence = new SilenceTimer(call.firstTokenTimeoutMs, () =>
      connection.reset(),
    );
    const request = startRequest(call, connection);
    try {
      await readEvents(request, {call, silence, listener});
    } catch (error) {
      throw errorOf(error, call, connection, silence);
    } finally {
      silence.stop();
      connection.reset();
    }
  }

  async cancel(url: string, attempt: AttemptId): Promise<void> {
    try {
      await got.post(new URL('/v1/cancel', url), {
        json: {requestId: attempt},
        retry: {limit: 0},
        timeout: {request: CANCEL_TIMEOUT_MS},
      });
    } catch {
      // The engine also stops when the connection closes.
    }
  }
}

function startRequest(call: EngineCall, connection: FreshConnection): Request {
  const resuming = call.resumeOffset !== undefined;
  const request = got.stream(new URL(requestPath(call), call.url), {
    method: 'POST',
    headers: {
      'x-request-id': call.attempt,
      'x-request-priority': String(call.tier),
    },
    json: resuming
      ? {requestId: call.attempt, offset: call.resumeOffset}
      : {
          ...call.body,
          stream: true,
          stream_options: {include_usage: true},
        },
    createConnection: connection.createConnection,
    retry: {limit: 0},
    throwHttpErrors: false,
    decompress: false,
  });
  request.setEncoding('utf8');
  return request;
}

function requestPath(call: EngineCall): string {
  return call.resumeOffset === undefined ? call.path : '/v1/resume';
}

interface StreamContext {
  readonly call: EngineCall;
  readonly silence: SilenceTimer;
  readonly listener: EngineListener;
}

/**
 * Passes events to the listener until the stream's end mark. Rejects with kind
 * `broken` when the stream ends without it.
 */
function readEvents(request: Request, context: StreamContext): Promise<void> {
  const {call, silence, listener} = context;
  const events = new EventReader(call.attempt);
  return new Promise((resolve, reject) => {
    // Later data must neither be read nor restart the silence timer, and a
    // later error must not end the process.
    const stop = () => {
      request.removeAllListeners();
      request.on('error', () => {});
      request.destroy();
    };
    const succeed = () => {
      stop();
      resolve();
    };
    const fail = (error: unknown) => {
      stop();
      reject(error);
    };
    const take = (text: string) => {
      silence.restart(call.chunkTimeoutMs);
      const batch = events.feed(text);
      const taken = batch.length > 0 ? listener(batch) : undefined;
      if (taken === undefined) {
        if (events.hasEnded) succeed();
        return;
      }
      // While a slow caller holds up reading, the engine does not count as
      // silent.
      silence.stop();
      request.pause();
      taken.then(() => {
        if (events.hasEnded) {
          succeed();
          return;
        }
        silence.restart(call.chunkTimeoutMs);
        request.resume();
      }, fail);
    };
    const failEarly = () => fail(new EndpointError(ENDED_EARLY));
    request.on('response', () => {
      attempt(() => checkResponse(request, call.attempt), fail);
    });
    request.on('data', text => attempt(() => take(text as string), fail));
    request.on('error', fail);
    request.on('end', failEarly);
    request.on('close', failEarly);
  });
}

function attempt(step: () => void, reject: (error: unknown) => void): void {
  try {
    step();
  } catch (error) {
    reject(error);
  }
}

/** Rejects error statuses and answers to another request. */
function checkResponse(request: Request, attempt: AttemptId): void {
  const response = request.response;
  if (response === undefined) return;
  const status = response.statusCode;
  if (status !== OK) throw statusError(response);
  const echoed = response.headers['x-request-id'];
  if (echoed !== attempt) {
    throw new EndpointError('The answer is to another request.', {
      kind: 'mismatched',
      verdict: 'may_have_run',
    });
  }
}

function statusError(response: {
  readonly statusCode: number;
  readonly headers: IncomingHttpHeaders;
}): EndpointError {
  const {statusCode: status, headers} = response;
  const didNoWork =
    status === TOO_MANY_REQUESTS ||
    status === UNAVAILABLE ||
    (status >= CLIENT_ERROR && status < 500);
  return new EndpointError(`The engine answered with status ${status}.`, {
    kind: didNoWork ? 'refused' : 'errored',
    verdict: didNoWork ? 'not_run' : 'may_have_run',
    status,
    backoffMs: readRetryAfterMs(status, headers['retry-after']),
  });
}

function errorOf(
  error: unknown,
  call: EngineCall,
  connection: FreshConnection,
  silence: SilenceTimer,
): EndpointError {
  if (error instanceof EndpointError) return error;
  const message = error instanceof Error ? error.message : String(error);
  const options = {verdict: connection.verdict, cause: error};
  if (call.signal.aborted) {
    return new EndpointError('Cancelled.', {...options, kind: 'cancelled'});
  }
  if (silence.hasFired) {
    return new EndpointError('The engine fell silent.', {
      ...options,
      kind: 'silent',
    });
  }
  return new EndpointError(message, {...options, kind: 'broken'});
}
