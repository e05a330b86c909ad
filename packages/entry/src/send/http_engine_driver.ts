/** Speaks to OpenAI-compatible engines, as docs/INTERFACES.md describes them. */

import {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import type {AttemptId} from '@snipestage/types/ids.js';
import {createParser} from 'eventsource-parser';
import {got, type Request} from 'got';
import {EndpointError} from './endpoint_error.js';
import {
  EngineDriver,
  type EngineCall,
  type EngineEvent,
} from './engine_driver.js';
import {readCompletionChunk, STREAM_END} from './completion_chunk.js';
import {SilenceTimer} from './silence_timer.js';

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

/** Every attempt has a connection of its own; see `FreshConnection`. */
export class HttpEngineDriver extends EngineDriver {
  private readonly connectTimeoutMs: number;

  constructor(options: HttpEngineDriverOptions = {}) {
    super();
    this.connectTimeoutMs =
      options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
  }

  async *stream(call: EngineCall): AsyncGenerator<readonly EngineEvent[]> {
    const connection = await this.open(call);
    const request = startRequest(call, connection);
    const silence = new SilenceTimer(call.firstTokenTimeoutMs, () =>
      connection.reset(),
    );
    try {
      yield* readEvents(request, call, silence);
    } catch (error) {
      throw failureOf(error, call, connection, silence);
    } finally {
      silence.stop();
      request.destroy();
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

  private async open(call: EngineCall): Promise<FreshConnection> {
    const url = new URL(call.url);
    const connection = await FreshConnection.open({
      host: url.hostname,
      port: Number(url.port),
      connectTimeoutMs: this.connectTimeoutMs,
      signal: call.signal,
    });
    if (connection.kind === 'open') return connection;
    throw new EndpointError(`No connection: ${connection.reason}`, {
      kind: call.signal.aborted ? 'cancelled' : 'unreachable',
      verdict: 'not_run',
    });
  }
}

function startRequest(call: EngineCall, connection: FreshConnection): Request {
  const resuming = call.resumeOffset !== undefined;
  const request = got.stream(new URL(bodyPath(call), call.url), {
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
  // The reader below hears of errors; without a listener of its own an error
  // after the last read would end the process.
  request.on('error', () => {});
  request.setEncoding('utf8');
  return request;
}

function bodyPath(call: EngineCall): string {
  return call.resumeOffset === undefined ? call.path : '/v1/resume';
}

/** Passes on events until the stream's end mark; an end without it is broken. */
async function* readEvents(
  request: Request,
  call: EngineCall,
  silence: SilenceTimer,
): AsyncGenerator<readonly EngineEvent[]> {
  let batch: EngineEvent[] = [];
  let ended = false;
  const parser = createParser({
    onEvent: message => {
      if (message.data === STREAM_END) ended = true;
      else batch.push(...readCompletionChunk(message.data, call.attempt));
    },
  });
  let checked = false;
  for await (const text of request) {
    if (!checked) {
      checkResponse(request, call.attempt);
      checked = true;
    }
    silence.restart(call.chunkTimeoutMs);
    parser.feed(text as string);
    if (batch.length > 0) {
      const events = batch;
      batch = [];
      // A caller that reads slowly holds us here; the engine is not silent
      // then.
      silence.stop();
      yield events;
      silence.restart(call.chunkTimeoutMs);
    }
    if (ended) return;
  }
  if (!checked) checkResponse(request, call.attempt);
  throw new EndpointError('The stream ended before its end mark.', {
    kind: 'broken',
    verdict: 'may_have_run',
  });
}

/** Turns away error statuses and answers to another request. */
function checkResponse(request: Request, attempt: AttemptId): void {
  const response = request.response;
  if (response === undefined) return;
  const status = response.statusCode;
  if (status !== OK) throw statusFailure(status);
  const echoed = response.headers['x-request-id'];
  if (echoed !== attempt) {
    throw new EndpointError('The answer is to another request.', {
      kind: 'mismatched',
      verdict: 'may_have_run',
    });
  }
}

function statusFailure(status: number): EndpointError {
  const didNoWork =
    status === TOO_MANY_REQUESTS ||
    status === UNAVAILABLE ||
    (status >= CLIENT_ERROR && status < 500);
  return new EndpointError(`The engine answered with status ${status}.`, {
    kind: didNoWork ? 'refused' : 'errored',
    verdict: didNoWork ? 'not_run' : 'may_have_run',
    status,
  });
}

function failureOf(
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
