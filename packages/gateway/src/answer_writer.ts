/** Writes one answer to one caller. */

import type {ServerResponse} from 'node:http';
import type {EndpointId} from '@snipestage/types/ids.js';
import {AnswerQueue} from './answer_queue.js';
import type {HeldMemory} from './memory_guard.js';
import type {FlatHeaders} from './pass_through_protocol.js';

/** A complete answer of an endpoint. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: FlatHeaders;
  readonly body: Buffer;
}

/** Owns the caller's response and counts the events written to it. */
export class AnswerWriter {
  private callerLeft = false;
  private ended = false;
  private wasAborted = false;
  events = 0;
  /** When the first event was written, and the longest pause between events. */
  firstEventAtMs: number | undefined;
  longestPauseMs = 0;
  private lastEventAtMs = 0;
  lastEventId: string | undefined;
  private openHeld: ((endpoint: EndpointId) => HeldMemory) | undefined;
  private queue: AnswerQueue | undefined;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection has to close after this answer. */
    private readonly mustClose: () => boolean,
    private readonly onCallerLeft: () => void,
  ) {
    response.on('close', () => this.noteDisconnected());
    // A reset by the caller also emits 'close'.
    response.on('error', () => response.destroy());
  }

  /**
   * Counts what the caller has not read yet, and reads on within its bound.
   *
   * @param openReadAhead begins to count what is read of a whole answer.
   */
  limitMemory(
    held: HeldMemory,
    openReadAhead: (endpoint: EndpointId) => HeldMemory,
  ): void {
    this.openHeld = openReadAhead;
    this.queue = new AnswerQueue(this.response, held);
  }

  /**
   * Begins to count what is read of an answer sent as a whole, until it is
   * complete: an endpoint that sends without end must not use up the memory of
   * the client account. Undefined where no bound is set.
   */
  openReadAhead(endpoint: EndpointId): HeldMemory | undefined {
    return this.openHeld?.(endpoint);
  }

  /** Counts what has been read of a stream and can't be written yet. */
  noteUnsent(bytes: number): void {
    this.queue?.setUnsent(bytes);
  }

  /** Handles the end of the connection: an unfinished answer is abandoned. */
  noteDisconnected(): void {
    if (this.isOver) return;
    this.callerLeft = true;
    this.onCallerLeft();
  }

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Whether nothing more can be sent: answered, aborted or caller gone. */
  get isOver(): boolean {
    return this.ended || this.callerLeft;
  }

  /** Whether the connection was closed before the end of the answer. */
  get isUnfinished(): boolean {
    return this.callerLeft || this.wasAborted;
  }

  get hasCallerLeft(): boolean {
    return this.callerLeft;
  }

  sendWhole(answer: WholeAnswer): void {
    if (this.isOver) return;
    const length = String(answer.body.length);
    const headers = [...answer.headers, 'Content-Length', length];
    this.writeHead(answer.status, headers);
    this.end(answer.body);
  }

  beginStream(status: number, headers: FlatHeaders): void {
    if (this.isOver) return;
    this.writeHead(status, headers);
  }

  /** Counts an event that is about to be written. */
  noteEvent(id: string | undefined, nowMs: number): void {
    this.events += 1;
    if (id !== undefined) this.lastEventId = id;
    if (this.firstEventAtMs === undefined) {
      this.firstEventAtMs = nowMs;
    } else {
      const pauseMs = nowMs - this.lastEventAtMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    }
    this.lastEventAtMs = nowMs;
  }

  /** @returns false when the write buffer is full; see {@link whenDrained}. */
  write(bytes: Buffer): boolean {
    if (this.isOver) return true;
    return this.queue?.write(bytes) ?? this.response.write(bytes);
  }

  whenDrained(resume: () => void): void {
    if (this.queue === undefined) this.response.once('drain', resume);
    else this.queue.whenDrained(resume);
  }

  finish(): void {
    if (this.isOver) return;
    this.end();
  }

  /**
   * Destroys the connection, so that an incomplete answer doesn't look
   * complete. A caller of HTTP/1.0 gets an answer without chunks, which a close
   * would end properly.
   */
  abort(): void {
    if (!this.isOver) this.destroy();
  }

  /** Aborts also a complete answer of which the caller has not read the end. */
  abandon(): void {
    if (!this.callerLeft && !this.response.writableFinished) this.destroy();
  }

  private destroy(): void {
    this.ended = true;
    this.wasAborted = true;
    this.queue?.discard();
    const {socket, chunkedEncoding} = this.response;
    if (!chunkedEncoding) socket?.resetAndDestroy();
    this.response.destroy();
  }

  /**
   * Answers with a failure of this system's own, without a body. An answer that
   * has begun is aborted instead.
   */
  fail(status: number, headers: Readonly<Record<string, string>>): void {
    if (this.isOver) return;
    if (this.hasBegun) {
      this.abort();
      return;
    }
    const flat = Object.entries(headers).flat();
    this.writeHead(status, [...flat, 'Content-Length', '0']);
    this.end();
  }

  private writeHead(status: number, headers: readonly string[]): void {
    const all = this.mustClose()
      ? [...headers, 'Connection', 'close']
      : [...headers];
    this.response.writeHead(status, all);
  }

  private end(body?: Buffer): void {
    this.ended = true;
    if (this.mustClose()) this.closeAfterAnswer();
    if (this.queue === undefined) this.response.end(body);
    else if (body === undefined) this.queue.end();
    else this.queue.endWhole(body);
  }

  /**
   * Closes the connection after the answer. The head of a stream may have been
   * sent before this instance began to stop, and so without
   * `Connection: close`: its caller would send the next request here.
   */
  private closeAfterAnswer(): void {
    const {socket} = this.response;
    this.response.once('finish', () => socket?.destroySoon());
  }
}
