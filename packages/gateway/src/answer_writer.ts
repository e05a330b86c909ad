/** Writes one answer to one caller. */

import type {ServerResponse} from 'node:http';
import type {FlatHeaders} from './pass_through_protocol.js';

/** An answer of an endpoint that is whole. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: FlatHeaders;
  readonly body: Buffer;
}

/** Owns the caller's response. */
export class AnswerWriter {
  private callerLeft = false;
  private ended = false;
  events = 0;
  /** When the first event went out, and the longest pause since. */
  firstEventAtMs: number | undefined;
  longestPauseMs = 0;
  private lastEventAtMs = 0;
  lastEventId: string | undefined;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection has to close after this answer. */
    private readonly mustClose: () => boolean,
    private readonly onCallerLeft: () => void,
  ) {
    response.on('close', () => this.noteGone());
    // A caller that resets its connection is seen by 'close' as well.
    response.on('error', () => response.destroy());
  }

  /** The connection is gone; whatever is not ended has nobody to go to. */
  noteGone(): void {
    if (this.isOver) return;
    this.callerLeft = true;
    this.onCallerLeft();
  }

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Whether nothing more can be told: ended, or the caller is gone. */
  get isOver(): boolean {
    return this.ended || this.callerLeft;
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

  /** An event goes out next. */
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

  /** @returns false when the caller reads slowly; see {@link whenDrained}. */
  write(bytes: Buffer): boolean {
    if (this.isOver) return true;
    return this.response.write(bytes);
  }

  whenDrained(resume: () => void): void {
    this.response.once('drain', resume);
  }

  finish(): void {
    if (this.isOver) return;
    this.end();
  }

  /** An answer that can't be completed must not look complete. */
  breakOff(): void {
    if (this.isOver) return;
    this.ended = true;
    this.response.destroy();
  }

  /** The system's own failure; tells when to come back if that helps. */
  fail(status: number, headers: Readonly<Record<string, string>>): void {
    if (this.isOver) return;
    if (this.hasBegun) {
      this.breakOff();
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
    this.response.end(body);
  }

  /**
   * The head of a stream may have gone out before the instance was told to
   * stop: then its caller has not been told that the connection closes, and
   * would send its next request here.
   */
  private closeAfterAnswer(): void {
    const {socket} = this.response;
    this.response.once('finish', () => socket?.destroySoon());
  }
}
