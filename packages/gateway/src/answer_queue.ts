/** Holds what a caller has not read yet of its answer, and counts it. */

import type {ServerResponse} from 'node:http';
import type {HeldMemory} from './memory_guard.js';

const BLOCK_BYTES = 16_384;
/** Part of a complete answer that is written at once. */
const PART_BYTES = 65_536;

/**
 * Writes one answer. While the write buffer is full, the bytes of further events
 * are copied into blocks: each write to a response costs several objects, which
 * for short events are many times their bytes.
 */
export class AnswerQueue {
  private blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  private usedBytes = 0;
  private queuedBytes = 0;
  /** Bytes read that aren't queued yet, such as a part of an event. */
  private unsentBytes = 0;
  private isFull = false;
  private hasEnded = false;
  private isWhole = false;
  private waiting: Array<() => void> = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly held: HeldMemory,
  ) {
    response.on('drain', () => {
      if (!this.isWhole) this.flush();
    });
  }

  /** @returns false when no more should be read; see {@link whenDrained}. */
  write(bytes: Buffer): boolean {
    if (this.isFull) this.append(bytes);
    else this.pass(bytes);
    this.measure();
    return this.held.hasRoom;
  }

  /** Calls back once there is room again. */
  whenDrained(resume: () => void): void {
    this.waiting.push(resume);
  }

  /** Counts bytes that were read and are not queued yet. */
  setUnsent(bytes: number): void {
    if (bytes === this.unsentBytes) return;
    this.unsentBytes = bytes;
    this.measure();
  }

  /** Ends a stream after what is queued. */
  end(): void {
    this.hasEnded = true;
    if (this.queuedBytes === 0) this.response.end();
  }

  /**
   * Writes a complete answer and ends it. The body goes out in parts, so that a
   * caller that reads slowly is seen to read. All of it counts until the end, as
   * a part of a buffer can't be freed.
   */
  endWhole(body: Buffer): void {
    this.isWhole = true;
    this.held.set(body.length, 'whole_answer');
    if (body.length <= PART_BYTES) this.response.end(body);
    else this.writePart(body, 0);
  }

  /** Drops what has not been written yet. */
  discard(): void {
    this.blocks = [];
    this.queuedBytes = 0;
    this.waiting = [];
  }

  private writePart(body: Buffer, offset: number): void {
    if (offset >= body.length) {
      this.response.end();
      return;
    }
    const end = offset + PART_BYTES;
    this.response.write(body.subarray(offset, end), error => {
      if (error) return;
      this.held.noteRead();
      this.writePart(body, end);
    });
  }

  private pass(bytes: Buffer): void {
    this.isFull = !this.response.write(bytes, this.measure);
  }

  private append(bytes: Buffer): void {
    let offset = 0;
    while (offset < bytes.length) {
      if (this.blocks.length === 0 || this.usedBytes === BLOCK_BYTES) {
        this.blocks.push(Buffer.allocUnsafeSlow(BLOCK_BYTES));
        this.usedBytes = 0;
      }
      const block = this.blocks[this.blocks.length - 1];
      const copied = bytes.copy(block, this.usedBytes, offset);
      this.usedBytes += copied;
      offset += copied;
    }
    this.queuedBytes += bytes.length;
  }

  private flush(): void {
    this.isFull = false;
    this.held.noteRead();
    while (!this.isFull && this.queuedBytes > 0) {
      const block = this.blocks.shift()!;
      const isLast = this.blocks.length === 0;
      const bytes = isLast ? block.subarray(0, this.usedBytes) : block;
      this.queuedBytes -= bytes.length;
      this.pass(bytes);
    }
    this.measure();
    if (this.hasEnded && this.queuedBytes === 0) this.response.end();
    if (!this.held.hasRoom) return;
    const {waiting} = this;
    this.waiting = [];
    for (const resume of waiting) resume();
  }

  /** Counts whole blocks: that is what they occupy. */
  private readonly measure = (): void => {
    const blockBytes = this.blocks.length * BLOCK_BYTES;
    const queuedBytes = this.response.writableLength + blockBytes;
    this.held.set(queuedBytes + this.unsentBytes, 'stream');
  };
}
