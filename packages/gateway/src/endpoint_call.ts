/** One call of an endpoint over a connection of its own. */

import {
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import {
  classifyAnswerEnd,
  framingOf,
  isWholeEnd,
  type AnswerContent,
  type AnswerEnd,
  type AnswerEnding,
} from '@snipestage/connection/answer_end.js';
import {INPUT_PACER} from '@snipestage/connection/input_pacer.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import {BodySending, UNREAD_BODY_TIMEOUT_MS} from './body_sending.js';
import type {
  ConnectionPath,
  EndpointConnectFailure,
  EndpointConnection,
} from './endpoint_connection.js';

/**
 * Options of {@link EndpointCall}: the request and how to connect; default in
 * the brackets.
 */
export interface EndpointCallOptions {
  readonly method: string;
  readonly path: string;
  /** Called once the connection is open: the time left is as of then. */
  readonly composeHeaders: () => string[];
  readonly body: Buffer | undefined;
  /** Opens the connection that carries the request. */
  readonly connect: (
    signal: AbortSignal,
  ) => Promise<EndpointConnection | EndpointConnectFailure>;
  /** Asked once the connection is open, before the request is sent. */
  readonly mayStillSend?: () => boolean;
  /**
   * Longest time in which the endpoint takes nothing of the body
   * ({@link UNREAD_BODY_TIMEOUT_MS}).
   */
  readonly unreadTimeoutMs?: number;
  /** Whether the endpoint accepts connections now. */
  readonly isStillUp: () => Promise<boolean>;
}

/**
 * Why there was no answer.
 *
 * - `unreachable`: the connection was refused or failed to open.
 * - `connect_timeout`: the connection wasn't established in time.
 * - `broken`: the connection ended before an answer.
 * - `cancelled`: the call was ended from this side.
 * - `withheld`: nothing was sent, as the endpoint had announced meanwhile that
 *   it wants no requests.
 * - `isolated`: this instance reaches no endpoint, by no path.
 * - `unread`: the endpoint did not read the request's body.
 * - `path_broken`: the instance that forwarded the connection was lost.
 */
export type CallFailureReason =
  | 'unreachable'
  | 'connect_timeout'
  | 'broken'
  | 'cancelled'
  | 'withheld'
  | 'isolated'
  | 'unread'
  | 'path_broken';

const CONNECT_FAILURE_REASONS: Readonly<
  Record<EndpointConnectFailure['reason'], CallFailureReason>
> = {
  refused: 'unreachable',
  timed_out: 'connect_timeout',
  not_serving: 'withheld',
  isolated: 'isolated',
};

/** The head of the answer, or why there is none. */
export type CallHead =
  | {readonly kind: 'head'; readonly response: IncomingMessage}
  | {
      readonly kind: 'failed';
      readonly reason: CallFailureReason;
      readonly verdict: Verdict;
      readonly message: string;
    };

/** Bytes before the end of the head, with interim answers and blank lines. */
const MAX_HEAD_BYTES = 65_536;

/**
 * Sends one request on a connection that is never shared or reused. An idle
 * connection may have gone dead, or may deliver a late answer to an earlier
 * request: a request that must not be repeated would be lost, or a caller would
 * get the answer to another's request.
 */
export class EndpointCall {
  private readonly cancellation = new AbortController();
  private connection: EndpointConnection | undefined;
  private request: ClientRequest | undefined;
  private wasUnread = false;
  readonly head: Promise<CallHead>;

  constructor(private readonly options: EndpointCallOptions) {
    this.head = this.run();
  }

  /** `not_run` until bytes have been written to an open connection. */
  get verdict(): Verdict {
    return this.connection?.verdict ?? 'not_run';
  }

  /** How an answer ended that was read up to its end; undefined until then. */
  ending: AnswerEnding | undefined;

  /**
   * Whether an answer that has ended is complete.
   *
   * An answer with neither length nor chunks ends with its connection. Node.js
   * (20) accepts a reset as that end, too, and the system closes the connections
   * of a process that ends: the connection distinguishes the one, a new one to
   * the endpoint the other.
   */
  async isWhole(
    response: IncomingMessage,
    content: AnswerContent,
  ): Promise<boolean> {
    const framing = framingOf(response.headers);
    const isFramingComplete = response.complete;
    const isRequestSent = this.request?.writableFinished === true;
    const hasClosedCleanly =
      framing === 'close' &&
      isFramingComplete &&
      ((await this.connection?.closedCleanly) ?? false);
    const answer = {
      framing,
      isFramingComplete,
      hasClosedCleanly,
      isRequestSent,
      content,
    };
    const end = await this.distinguishClose(classifyAnswerEnd(answer));
    this.ending = {framing, end};
    return isWholeEnd(end);
  }

  private async distinguishClose(end: AnswerEnd): Promise<AnswerEnd> {
    if (end !== 'closed') return end;
    return (await this.options.isStillUp()) ? 'closed' : 'endpoint_gone';
  }

  /** Whether the call was ended from this side. */
  get isCancelled(): boolean {
    return this.cancellation.signal.aborted;
  }

  /** Whether the connection broke without the endpoint's doing. */
  get hasPathBroken(): boolean {
    return this.connection?.hasPathBroken === true;
  }

  /** Undefined until a connection is open. */
  get path(): ConnectionPath | undefined {
    return this.connection?.path;
  }

  /** Address of the instance that forwards the connection, if any. */
  get forwarder(): string | undefined {
    return this.connection?.forwarder;
  }

  /** What broke the path to the forwarder, if it has broken. */
  get pathError(): string | undefined {
    return this.connection?.pathError;
  }

  /** Closes the connection, upon which the endpoint stops its work. */
  cancel(): void {
    this.cancellation.abort();
    this.request?.destroy();
    this.connection?.reset();
  }

  private async run(): Promise<CallHead> {
    const {connect, mayStillSend} = this.options;
    const connection = await connect(this.cancellation.signal);
    if (connection.kind === 'failed') {
      return this.failed(CONNECT_FAILURE_REASONS[connection.reason], '');
    }
    this.connection = connection;
    if (this.isCancelled) {
      connection.reset();
      return this.failed('broken', '');
    }
    if (mayStillSend?.() === false) {
      connection.reset();
      return this.failed('withheld', 'the endpoint wants no requests');
    }
    return this.send(connection);
  }

  private send(connection: EndpointConnection): Promise<CallHead> {
    const {method, path, composeHeaders, body} = this.options;
    const request = httpRequest({
      method,
      path,
      headers: composeHeaders(),
      setHost: false,
      createConnection: () => {
        const opened = connection.createConnection();
        INPUT_PACER.pace(opened);
        return opened;
      },
    });
    this.request = request;
    this.limitHead(request);
    const sending = new BodySending(request, body, {
      timeoutMs: this.options.unreadTimeoutMs ?? UNREAD_BODY_TIMEOUT_MS,
      onTimeout: () => this.endUnread(),
    });
    return new Promise(resolve => {
      request.once('response', response => {
        sending.stopTimeout();
        resolve({kind: 'head', response});
      });
      request.on('error', error =>
        resolve(this.failed(this.breakReason, error.message)),
      );
      request.once('close', () => {
        sending.stopTimeout();
        resolve(this.failed(this.breakReason, 'closed without an answer'));
      });
      sending.begin();
    });
  }

  /** Node.js limits the head itself, but not what may come before it. */
  private limitHead(request: ClientRequest): void {
    request.once('socket', socket => {
      let bytes = 0;
      let hasHead = false;
      const count = (part: Buffer) => {
        bytes += part.length;
        if (hasHead || bytes <= MAX_HEAD_BYTES) return;
        request.destroy(new Error('more bytes than a head may have'));
      };
      socket.on('data', count);
      request.once('response', () => {
        hasHead = true;
        socket.off('data', count);
      });
    });
  }

  /** The endpoint may run what it has read so far: the verdict says so. */
  private endUnread(): void {
    this.wasUnread = true;
    this.request?.destroy();
    this.connection?.reset();
  }

  private get breakReason(): CallFailureReason {
    if (this.wasUnread) return 'unread';
    return this.hasPathBroken ? 'path_broken' : 'broken';
  }

  private failed(reason: CallFailureReason, message: string): CallHead {
    const {isCancelled} = this;
    return {
      kind: 'failed',
      reason: isCancelled ? 'cancelled' : reason,
      verdict: this.verdict,
      message,
    };
  }
}
