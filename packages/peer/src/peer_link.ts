/** One stream to another process, dialled or accepted. */

import type {Frame__Output as WireFrameOutput} from './generated/snipestage/peer/Frame.js';
import type {Frame as WireFrame} from './generated/snipestage/peer/Frame.js';
import {
  decodeFrame,
  encodeFrame,
  type Hello,
  type PeerFrame,
} from './frame_codec.js';

/** What both kinds of grpc-js streams have in common. */
export interface FrameStream {
  on(event: 'data', listener: (frame: WireFrameOutput) => void): unknown;
  on(event: 'error', listener: (error: Error) => void): unknown;
  on(event: 'end' | 'close' | 'drain', listener: () => void): unknown;
  write(frame: WireFrame): boolean;
}

/** Why a link ended. */
export type LinkEnd =
  | 'closed'
  | 'failed'
  | 'refused'
  | 'silent'
  | 'connect_timeout'
  | 'duplicate'
  | 'idle';

/** Receives the events of a link. */
export interface LinkOwner {
  onFrame(link: PeerLink, frame: PeerFrame): void;
  onEnd(link: PeerLink, reason: LinkEnd, detail: string): void;
}

/** A two-way stream of frames; {@link end} frees what it holds. */
export abstract class PeerLink {
  /** Whether this process opened the stream. */
  abstract readonly isDialled: boolean;
  /** Identity of the other side, set once its hello has arrived. */
  peer?: Hello;
  /** When the other side last showed activity; at first when it was opened. */
  lastHeardMs: number;
  lastSentMs = -Infinity;
  /**
   * When a record last went over it in either direction; absent before any has.
   */
  lastRecordMs?: number;
  framesSent = 0;
  framesReceived = 0;
  private hasEnded = false;
  private isFull = false;
  private stream?: FrameStream;

  constructor(
    protected readonly owner: LinkOwner,
    readonly openedMs: number,
  ) {
    this.lastHeardMs = openedMs;
  }

  /**
   * Signals to the other side that no more frames come, where gRPC allows it.
   */
  abstract finishSending(): void;

  /** Ends the stream and closes its socket. */
  protected abstract release(): void;

  get isEnded(): boolean {
    return this.hasEnded;
  }

  /**
   * Whether a frame may be written. False also under back-pressure: frames for
   * a receiver that reads too slowly would pile up in this process's memory.
   */
  get isWritable(): boolean {
    return !this.hasEnded && !this.isFull && this.peer !== undefined;
  }

  send(frame: PeerFrame, nowMs: number): void {
    if (this.hasEnded || this.stream === undefined) return;
    this.lastSentMs = nowMs;
    this.framesSent += 1;
    if (frame.records.length > 0) this.lastRecordMs = nowMs;
    this.isFull = !this.stream.write(encodeFrame(frame));
  }

  /**
   * Ends the stream and reports it to the owner; no effect when it has ended.
   */
  end(reason: LinkEnd, detail = ''): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.release();
    this.owner.onEnd(this, reason, detail);
  }

  protected attach(stream: FrameStream): void {
    this.stream = stream;
    stream.on('data', wire => {
      if (this.hasEnded) return;
      this.framesReceived += 1;
      this.owner.onFrame(this, decodeFrame(wire));
    });
    stream.on('error', error => {
      this.end(isRefusal(error) ? 'refused' : 'failed', error.message);
    });
    stream.on('drain', () => {
      this.isFull = false;
    });
    stream.on('end', () => this.end('closed'));
    stream.on('close', () => this.end('closed'));
  }
}

const UNAUTHENTICATED_STATUS = 16;

function isRefusal(error: Error): boolean {
  return 'code' in error && error.code === UNAUTHENTICATED_STATUS;
}
