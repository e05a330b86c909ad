/** What is known of callers' connections. */

import type {Socket} from 'node:net';

/** One connection, as of its latest request. */
export interface ConnectionFacts {
  readonly openedAtMs: number;
  /** Requests that came on it, the latest included. */
  readonly requests: number;
}

/**
 * Tells a request on a new connection from one on a connection that was kept
 * or opened early: which of these a stopping instance should not have taken
 * can't be told from the request alone.
 */
export class CallerConnections {
  private readonly bySocket = new WeakMap<Socket, ConnectionFacts>();

  noteOpened(socket: Socket, nowMs: number): void {
    this.bySocket.set(socket, {openedAtMs: nowMs, requests: 0});
  }

  /** @returns the facts with this request counted. */
  noteRequest(socket: Socket, nowMs: number): ConnectionFacts {
    const {openedAtMs, requests} = this.bySocket.get(socket) ?? {
      openedAtMs: nowMs,
      requests: 0,
    };
    const facts = {openedAtMs, requests: requests + 1};
    this.bySocket.set(socket, facts);
    return facts;
  }
}
