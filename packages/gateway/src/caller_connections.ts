/** Callers' connections, and the requests and open answers on each. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {AcceptQueueWatch} from './accept_queue_watch.js';

/** State of a connection as of its latest request. */
export interface ConnectionFacts {
  readonly openedAtMs: number;
  /** The longest time for which the request may have waited with it. */
  readonly maxQueuedMs: number;
  /** Requests received on it, the latest included. */
  readonly requests: number;
}

/** The side that ended a connection. */
export type ClosingSide = 'caller' | 'instance';

interface Connection {
  readonly openedAtMs: number;
  /** 0 once what came with the connection has been read. */
  maxQueuedMs: number;
  requests: number;
  /** Whether its caller has closed or reset it. */
  isClosedByCaller: boolean;
  /** Answers whose last byte hasn't been handed to the kernel yet. */
  openAnswers: number;
}

/**
 * Records the age and the requests of each connection, which the request itself
 * doesn't show: a request that reaches a stopping instance may come on a new
 * connection, on a kept one, or on one that was opened ahead of need.
 */
export class CallerConnections {
  readonly queue: AcceptQueueWatch;
  private readonly bySocket = new Map<Socket, Connection>();
  private readCount = 0;

  /** @param onAllAccepted called when no more connections wait. */
  constructor(
    private readonly nowMs: () => number,
    onAllAccepted: () => void,
  ) {
    this.queue = new AcceptQueueWatch({nowMs, onEmpty: onAllAccepted});
  }

  /** Connections and requests read so far. */
  get readSoFar(): number {
    return this.readCount;
  }

  noteOpened(socket: Socket): void {
    this.readCount += 1;
    const connection: Connection = {
      openedAtMs: this.nowMs(),
      maxQueuedMs: this.queue.noteAccepted(),
      requests: 0,
      isClosedByCaller: false,
      openAnswers: 0,
    };
    this.bySocket.set(socket, connection);
    // The next turn reads what has waited with the connection.
    setImmediate(() => setImmediate(() => (connection.maxQueuedMs = 0)));
    const noteClosedByCaller = () => (connection.isClosedByCaller = true);
    socket.once('end', noteClosedByCaller);
    // An error is the caller's reset, or a silence that the kernel gave up on.
    socket.once('error', noteClosedByCaller);
    socket.once('close', () => this.bySocket.delete(socket));
  }

  /** @returns the state of the connection, with this request counted. */
  noteRequest({socket}: IncomingMessage, nowMs: number): ConnectionFacts {
    this.readCount += 1;
    const connection = this.bySocket.get(socket);
    if (connection === undefined)
      return {openedAtMs: nowMs, maxQueuedMs: 0, requests: 1};
    connection.requests += 1;
    return {...connection};
  }

  /** Requests received so far on a connection. */
  countRequests(socket: Socket): number {
    return this.bySocket.get(socket)?.requests ?? 0;
  }

  /** Answers that are due on a connection. */
  countOpenAnswers(socket: Socket): number {
    return this.bySocket.get(socket)?.openAnswers ?? 0;
  }

  /**
   * Finds which side has closed a connection; this one as long as nothing has
   * been read of the other's close.
   *
   * @returns a function, as a closed connection is not kept here.
   */
  watchClosingSide({socket}: IncomingMessage): () => ClosingSide {
    const connection = this.bySocket.get(socket);
    return () =>
      connection?.isClosedByCaller === true ? 'caller' : 'instance';
  }

  /**
   * Calls `onOver` once the kernel has the last byte of an answer, or its
   * connection has closed. A pipelined answer that waits behind another one has
   * no socket yet, and emits no 'close' if the connection closes meanwhile;
   * therefore the socket of its request is watched as well.
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

  /** Whether no other answer is due on the connection. */
  isLastAnswer({socket}: IncomingMessage): boolean {
    return (this.bySocket.get(socket)?.openAnswers ?? 0) <= 1;
  }

  /**
   * Closes the connections that have been used and are idle now.
   *
   * `closeIdleConnections` of Node.js (20) regards an answer as sent once it
   * has been written to its connection. A slow caller may have only part of it
   * by then, and its answer would be cut off.
   *
   * @returns how many were closed.
   */
  closeIdle(): number {
    const idle = [...this.bySocket].filter(
      ([, {requests, openAnswers}]) => requests > 0 && openAnswers === 0,
    );
    for (const [socket] of idle) socket.destroy();
    return idle.length;
  }
}
