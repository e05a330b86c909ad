/** Collects the parts of a body in few objects. */

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Copies parts into blocks. Kept as they come, parts of a few bytes each occupy
 * many times their size: every part is an object, and keeps the buffer that it
 * was read into.
 */
export class CollectedBytes {
  private blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  private usedBytes = 0;
  private totalBytes = 0;

  get length(): number {
    return this.totalBytes;
  }

  /**
   * @example
   * response.on('data', part => collected.append(part));
   */
  append(part: Buffer): void {
    let offset = 0;
    while (offset < part.length) {
      const block = this.blockWithRoom(part.length - offset);
      const copied = part.copy(block, this.usedBytes, offset);
      this.usedBytes += copied;
      this.totalBytes += copied;
      offset += copied;
    }
  }

  /** Returns all bytes, which stay. */
  toBuffer(): Buffer {
    const {blocks, totalBytes} = this;
    if (blocks.length === 1) return blocks[0].subarray(0, totalBytes);
    return Buffer.concat(blocks, totalBytes);
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const bytes = this.toBuffer();
    this.blocks = [];
    this.usedBytes = 0;
    this.totalBytes = 0;
    return bytes;
  }

  private blockWithRoom(bytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last !== undefined && this.usedBytes < last.length) return last;
    const wantedBytes = Math.max(MIN_BLOCK_BYTES, bytes, this.totalBytes);
    const block = Buffer.allocUnsafeSlow(
      Math.min(MAX_BLOCK_BYTES, wantedBytes),
    );
    this.blocks.push(block);
    this.usedBytes = 0;
    return block;
  }
}
