/** An engine that moves running requests to others, for tests. */

import type {Socket} from 'node:net';
import {chunk, streamHead} from './test_proxy.js';

/** Status and handle that answer a copy; `lost`: the connection is reset. */
export type CopyReply =
  {readonly status: number; readonly handle?: string} | 'lost' | 'never';

/** What an engine does with the calls that it gets. */
export interface EngineBehaviour {
  /** Copies while the run goes on (200). */
  early: CopyReply;
  /** Copies after which the run has stopped (200). */
  final: CopyReply;
  /** Time that a copy takes (30 ms). */
  copyMs: number;
  /** Whether a final call stops the run (unless it fails without a handle). */
  isStopped: boolean | undefined;
  /** Whether the stream stays open when its run has stopped (false). */
  staysOpen: boolean;
  /** Whether it refuses all continuations, unrun (false). */
  refuses: boolean;
  /** Whether it resets continuations without an answer (false). */
  resets: boolean;
  /** Whether streams end with their connections (false). */
  isUnframed: boolean;
  /** Time between two events of a run that begins (25 ms). */
  intervalMs: number;
  /** Called when a copy begins. */
  onCopy: (kind: 'early' | 'final') => void;
}

/** A request that the engine has run. */
export interface EngineRun {
  readonly id: string;
  /** The copy that it continues; undefined for one that begins. */
  readonly memory: string | undefined;
  readonly body: string;
  readonly after: number;
  readonly beganAtMs: number;
  endedAtMs: number | undefined;
}

interface ActiveRun {
  readonly run: EngineRun;
  readonly socket: Socket;
  readonly timer: NodeJS.Timeout;
}

/** Number of events of each answer. */
export const STREAM_EVENTS = 120;
/** For the header by which a request states its length; four in an event. */
export const STREAM_TOKENS = 4 * STREAM_EVENTS;

/** The whole answer. */
export const WHOLE_STREAM = Array.from({length: STREAM_EVENTS}, (_, index) =>
  eventOf(index + 1),
).join('');

function eventOf(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

function headerOf(request: string, name: string): string | undefined {
  return new RegExp(`^${name}: (\\S+)`, 'im').exec(request)?.[1];
}

/** Holds runs, and the copies that it has sent to others. */
export class MovingEngine {
  readonly behaviour: EngineBehaviour = {
    early: {status: 200, handle: 'handle'},
    final: {status: 200, handle: 'handle'},
    copyMs: 30,
    isStopped: undefined,
    staysOpen: false,
    refuses: false,
    resets: false,
    isUnframed: false,
    intervalMs: 25,
    onCopy: () => undefined,
  };
  readonly runs: EngineRun[] = [];
  /** Kinds of the copies that were asked for, in order. */
  readonly copies: string[] = [];
  readonly released: string[] = [];
  private readonly active = new Map<string, ActiveRun>();

  /** For {@link TestProxy}. */
  readonly script = (socket: Socket, request: string): void => {
    const [method, path] = request.split(' ');
    if (method === 'DELETE') {
      this.released.push(path.split('/')[2]);
      socket.end('HTTP/1.1 204 Gone\r\n\r\n');
    } else if (path.startsWith('/copy/')) {
      void this.copy(socket, path);
    } else {
      this.serve(socket, request);
    }
  };

  private async copy(socket: Socket, path: string): Promise<void> {
    const [, , id, , kind] = path.split('/');
    const {behaviour} = this;
    const isFinal = kind === 'final';
    this.copies.push(kind);
    const reply = isFinal ? behaviour.final : behaviour.early;
    behaviour.onCopy(isFinal ? 'final' : 'early');
    const hasHandle = reply !== 'never' && reply !== 'lost' && reply.handle;
    const isStopped = behaviour.isStopped ?? Boolean(hasHandle);
    if (isFinal && isStopped) this.stop(id);
    await new Promise(done => setTimeout(done, behaviour.copyMs));
    if (reply === 'never') return;
    if (reply === 'lost') {
      socket.resetAndDestroy();
      return;
    }
    const {status, handle = ''} = reply;
    const length = `Content-Length: ${handle.length}`;
    socket.end(`HTTP/1.1 ${status} Copy\r\n${length}\r\n\r\n${handle}`);
  }

  /** The run ends, and its stream closes without its end. */
  private stop(id: string): void {
    const active = this.active.get(id);
    if (active === undefined) return;
    this.end(active);
    if (this.behaviour.staysOpen) return;
    if (this.behaviour.isUnframed) active.socket.end();
    else active.socket.destroy();
  }

  private end({run, timer}: ActiveRun): void {
    clearInterval(timer);
    run.endedAtMs ??= performance.now();
    this.active.delete(run.id);
  }

  private serve(socket: Socket, request: string): void {
    const id = headerOf(request, 'x-request-id') ?? '';
    const memory = headerOf(request, 'x-memory');
    const {behaviour} = this;
    if (memory !== undefined && behaviour.refuses) {
      const lines = [
        'X-Not-Run: 1',
        `X-Request-Id: ${id}`,
        'Content-Length: 0',
      ];
      socket.end(`HTTP/1.1 503 Full\r\n${lines.join('\r\n')}\r\n\r\n`);
      return;
    }
    const after = Number(headerOf(request, 'last-event-id') ?? 0);
    const run: EngineRun = {
      id,
      memory,
      body: request.slice(request.indexOf('\r\n\r\n') + 4),
      after,
      beganAtMs: performance.now(),
      endedAtMs: undefined,
    };
    this.runs.push(run);
    if (memory !== undefined && behaviour.resets) socket.resetAndDestroy();
    else this.stream(socket, run);
  }

  private stream(socket: Socket, run: EngineRun): void {
    const {isUnframed, intervalMs} = this.behaviour;
    const frame = isUnframed ? (text: string) => text : chunk;
    const head = streamHead(run.id);
    socket.write(
      isUnframed ? head.replace('Transfer-Encoding: chunked\r\n', '') : head,
    );
    let next = run.after + 1;
    const timer = setInterval(() => {
      if (next <= STREAM_EVENTS) socket.write(frame(eventOf(next)));
      else {
        this.end(active);
        socket.end(isUnframed ? '' : chunk(''));
      }
      next += 1;
    }, intervalMs);
    const active: ActiveRun = {run, socket, timer};
    this.active.set(run.id, active);
    socket.once('close', () => this.end(active));
  }
}
