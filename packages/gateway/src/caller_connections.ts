/** Callers' connections, and what is under way on each. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** One connection, as of its latest request. */
export interface ConnectionFacts {
  readonly openedAtMs: number;
  /** Requests that came on it, the latest included. */
  readonly requests: number;
}

interface Connection {
  readonly openedAtMs: number;
  requests: number;
  /** Answers of which the system doesn't have the last byte yet. */
  openAnswers: number;
}

/**
 * Tells a request on a new connection from one on a connection that was kept
 * or opened early: which of these a stopping instance should not have taken
 * can't be told from the request alone.
 */
export class CallerConnections {
  private readonly bySocket = new Map<Socket, Connection>();

  noteOpened(socket: Socket, nowMs: number): void {
    const connection = {openedAtMs: nowMs, requests: 0, openAnswers: 0};
    this.bySocket.set(socket, connection);
    socket.once('close', () => this.bySocket.delete(socket));
  }

  /** @returns the facts with this request counted. */
  noteRequest({socket}: IncomingMessage, nowMs: number): ConnectionFacts {
    const connection = this.bySocket.get(socket);
    if (connection === undefined) return {openedAtMs: nowMs, requests: 1};
    connection.requests += 1;
    return {...connection};
  }

  /**
   * Follows an answer until the system has its last byte, or its connection is
   * gone. An answer that waits behind another one on its connection has no
   * socket yet, and never closes if the connection goes meanwhile; its request
   * has the socket, whose end counts as well.
   */
  followAnswer(
    {socket}: IncomingMessage,
    response: ServerResponse,
    onOver: () => void,
  ): void {
    const connection = this.bySocket.get(socket);
    if (connection !== undefined) connection.openAnswers += 1;
    let isOver = false;
    const finish = () => {
      if (isOver) return;
      isOver = true;
      response.off('close', finish);
      socket.off('close', finish);
      if (connection !== undefined) connection.openAnswers -= 1;
      onOver();
    };
    response.once('close', finish);
    socket.once('close', finish);
  }

  /** Whether no other answer has to go out on the connection. */
  isLastAnswer({socket}: IncomingMessage): boolean {
    return (this.bySocket.get(socket)?.openAnswers ?? 0) <= 1;
  }

  /**
   * Closes the connections that were used and rest now.
   *
   * `closeIdleConnections` of Node.js (20) takes an answer for given once it has
   * been handed to its connection. A slow caller has part of it then, and would
   * see it break off.
   */
  closeResting(): void {
    for (const [socket, {requests, openAnswers}] of this.bySocket) {
      if (requests > 0 && openAnswers === 0) socket.destroy();
    }
  }
}
