/** One stream to one process, whoever dialled it. */

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

/** Whom a link tells. */
export interface LinkOwner {
  onFrame(link: PeerLink, frame: PeerFrame): void;
  onEnd(link: PeerLink, reason: LinkEnd, detail: string): void;
}

/** A two-way stream of frames; {@link end} frees what it holds. */
export abstract class PeerLink {
  /** Whether this process opened it. */
  abstract readonly isDialled: boolean;
  /** Set once the other side has said who it is. */
  peer?: Hello;
  /** When the other side last gave a sign; at first when it was opened. */
  lastHeardMs: number;
  lastSentMs = -Infinity;
  /** When a record last went over it, either way; absent when none has. */
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

  /** Tells the other side that no more frames come, where that can be told. */
  abstract finishSending(): void;

  /** Ends the stream and closes its socket. */
  protected abstract release(): void;

  get isEnded(): boolean {
    return this.hasEnded;
  }

  /**
   * Whether a frame may be written: a receiver that reads too slowly would
   * otherwise have its frames pile up in this process's memory.
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

  /** Ends it from this side. */
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

const UNAUTHENTICATED = 16;

function isRefusal(error: Error): boolean {
  return 'code' in error && error.code === UNAUTHENTICATED;
}
