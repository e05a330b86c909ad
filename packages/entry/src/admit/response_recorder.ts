/** Records an answer while it is sent. */

import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** An answer as sent to the caller, without {@link NOT_REPLAYED}. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

const NOT_REPLAYED: ReadonlySet<string> = new Set([
  'x-request-id',
  'connection',
  'content-length',
  'transfer-encoding',
  'date',
  'server',
]);

type Write = (chunk: unknown, ...rest: unknown[]) => unknown;

const recorded = new WeakSet<ServerResponse>();

/**
 * Whether an answer need not be written any further: its caller has
 * disconnected and it isn't recorded for a replay either.
 *
 * @example
 * if (mayDiscard(response)) return;
 */
export function mayDiscard(response: ServerResponse): boolean {
  return response.destroyed && !recorded.has(response);
}

/**
 * Records what is written to one response. It goes on recording after the
 * caller has disconnected, since that caller is expected to repeat the request
 * under its idempotency key.
 */
export class ResponseRecorder {
  private readonly chunks: Buffer[] = [];
  private headers: Record<string, string> = {};
  private status = 0;
  private ended = false;
  private isReleased = false;
  private heldEnd: (() => void) | undefined;

  constructor(private readonly response: ServerResponse) {
    recorded.add(response);
    this.tapHeaders();
    this.tap('write');
    this.tap('end');
  }

  /**
   * Sends the answer's end, which is held back until then: a caller that has
   * the whole answer may repeat the request at once, and the stored answer must
   * then be available.
   */
  release(): void {
    this.isReleased = true;
    this.heldEnd?.();
    this.heldEnd = undefined;
  }

  /** The recorded answer; `undefined` unless the response was ended. */
  read(): RecordedAnswer | undefined {
    if (!this.ended) return undefined;
    return {
      status: this.status,
      headers: this.headers,
      body: Buffer.concat(this.chunks),
    };
  }

  private end(send: () => unknown): ServerResponse {
    this.ended = true;
    const sendIfOpen = () => {
      if (!this.response.destroyed) send();
    };
    if (this.isReleased) sendIfOpen();
    else this.heldEnd = sendIfOpen;
    return this.response;
  }

  private tapHeaders(): void {
    const {response} = this;
    const writeHead = response.writeHead.bind(response);
    response.writeHead = (status: number, ...rest: unknown[]) => {
      const headers = rest.find(part => typeof part === 'object');
      this.headers = replayableHeaders((headers ?? {}) as OutgoingHttpHeaders);
      this.status = status;
      if (response.destroyed) return response;
      return writeHead(status, headers as OutgoingHttpHeaders);
    };
  }

  private tap(method: 'write' | 'end'): void {
    const original = this.response[method].bind(this.response) as Write;
    const tapped: Write = (chunk, ...rest) => {
      if (typeof chunk === 'string' || Buffer.isBuffer(chunk)) {
        this.chunks.push(Buffer.from(chunk));
      }
      if (this.response.destroyed && method !== 'end') return true;
      if (method === 'end') return this.end(() => original(chunk, ...rest));
      return original(chunk, ...rest);
    };
    this.response[method] = tapped as ServerResponse['end'] &
      ServerResponse['write'];
  }
}

function replayableHeaders(
  headers: OutgoingHttpHeaders,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_REPLAYED.has(name.toLowerCase())) continue;
    kept[name] = String(value);
  }
  return kept;
}
