/** Requests a completion and records the response, for tests and load. */

import {
  request as sendRequest,
  type Agent,
  type IncomingMessage,
} from 'node:http';
import {
  StreamReader,
  textOfChunk,
  type StreamChunk,
  type StreamEvent,
} from './stream_reader.js';

/** A completion request. */
export interface StreamCall {
  /** Scheme, IP number and port. */
  readonly url: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: object;
  readonly signal?: AbortSignal;
  readonly onToken?: (atMs: number) => void;
  /** Agent whose connections are used; a new connection when absent. */
  readonly agent?: Agent;
}

/** The response to a {@link StreamCall}. */
export interface StreamResult {
  /** HTTP status; 0 when no response head arrived. */
  readonly status: number;
  readonly requestId: string | undefined;
  readonly text: string;
  /** Distinct ids of the chunks. */
  readonly chunkIds: readonly string[];
  /** Arrival time of each token, on the monotonic clock. */
  readonly tokenTimesMs: readonly number[];
  readonly usage: StreamChunk['usage'];
  /** Whether `[DONE]` arrived. */
  readonly isComplete: boolean;
  readonly error: StreamChunk['error'] | undefined;
  /** Code of a failed connection, such as `ECONNRESET`. */
  readonly failure: string | undefined;
  readonly endedAtMs: number;
}

const DEFAULT_PATH = '/v1/chat/completions';

/**
 * Streams one completion. Never throws: failures are reported in the result.
 *
 * @example
 * const result = await streamCompletion({
 *   url: engine.url,
 *   body: {model: 'repair', messages},
 * });
 */
export async function streamCompletion(
  call: StreamCall,
): Promise<StreamResult> {
  const collected = new StreamCollector(call.onToken);
  try {
    const response = await openStream(call);
    collected.begin(response);
    response.setEncoding('utf8');
    for await (const piece of response) collected.addPiece(piece as string);
  } catch (error) {
    collected.fail(error);
  }
  return collected.end();
}

function openStream(call: StreamCall): Promise<IncomingMessage> {
  const text = JSON.stringify({stream: true, ...call.body});
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      new URL(call.path ?? DEFAULT_PATH, call.url),
      {
        method: 'POST',
        agent: call.agent ?? false,
        signal: call.signal,
        headers: {
          ...call.headers,
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(text),
        },
      },
      resolve,
    );
    request.once('error', reject);
    request.end(text);
  });
}

/** Collects the events of one stream. */
class StreamCollector {
  private readonly reader = new StreamReader();
  private readonly onToken: ((atMs: number) => void) | undefined;
  private readonly tokenTimesMs: number[] = [];
  private readonly chunkIds = new Set<string>();
  private status = 0;
  private requestId: string | undefined;
  private text = '';
  private plainBody = '';
  private usage: StreamChunk['usage'];
  private isComplete = false;
  private error: StreamChunk['error'] | undefined;
  private failure: string | undefined;

  constructor(onToken: ((atMs: number) => void) | undefined) {
    this.onToken = onToken;
  }

  begin(response: IncomingMessage): void {
    this.status = response.statusCode ?? 0;
    const requestId = response.headers['x-request-id'];
    this.requestId = Array.isArray(requestId) ? requestId[0] : requestId;
  }

  addPiece(piece: string): void {
    if (this.status !== 200) {
      this.plainBody += piece;
      return;
    }
    for (const event of this.reader.addPiece(piece)) this.addEvent(event);
  }

  fail(error: unknown): void {
    const code = (error as NodeJS.ErrnoException).code;
    this.failure = code ?? String(error);
  }

  end(): StreamResult {
    const {chunkIds, error, failure, isComplete, requestId} = this;
    const {status, text, tokenTimesMs, usage} = this;
    return {
      status,
      requestId,
      text,
      chunkIds: [...chunkIds],
      tokenTimesMs,
      usage,
      isComplete,
      error: error ?? errorOf(this.plainBody),
      failure,
      endedAtMs: performance.now(),
    };
  }

  private addEvent(event: StreamEvent): void {
    if (event.kind === 'done') {
      this.isComplete = true;
      return;
    }
    const {chunk} = event;
    if (chunk.id !== undefined) this.chunkIds.add(chunk.id);
    this.error = chunk.error ?? this.error;
    this.usage = chunk.usage ?? this.usage;
    const text = textOfChunk(chunk);
    if (text === '') return;
    const atMs = performance.now();
    this.text += text;
    this.tokenTimesMs.push(atMs);
    this.onToken?.(atMs);
  }
}

function errorOf(body: string): StreamChunk['error'] | undefined {
  if (body === '') return undefined;
  try {
    return (JSON.parse(body) as StreamChunk).error;
  } catch {
    return undefined;
  }
}
